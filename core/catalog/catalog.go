// Package catalog is the part of the operator's configuration that decides
// which jobs are taken, and on which workers their tasks run.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Queue receives the jobs of one host and path.
type Queue struct {
	Name string
	// Host and Prefix select the queue; the longest prefix wins.
	Host, Prefix string
	// Service names the workers that run its tasks.
	Service string
	// Priority orders classes of jobs; 0 comes first.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// Stretch times the longest chain of work plus Target is the latency objective.
	Stretch float64
	Target  time.Duration
}

// Objective returns the time within which a job with the given work should end.
func (q *Queue) Objective(work time.Duration) time.Duration {
	return time.Duration(float64(work)*q.Stretch) + q.Target
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version rises with each change; 0 means none.
	Version uint64
	Limits  Limits
	hosts   map[string][]Queue
}

// New returns a catalog of the queues.
func New(version uint64, limits Limits, queues []Queue) *Catalog {
	c := &Catalog{Version: version, Limits: limits, hosts: make(map[string][]Queue)}
	for _, q := range queues {
		c.hosts[q.Host] = append(c.hosts[q.Host], q)
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Named returns the queue of a name, or nil.
func (c *Catalog) Named(name string) *Queue {
	for _, list := range c.hosts {
		for i := range list {
			if list[i].Name == name {
				return &list[i]
			}
		}
	}
	return nil
}

// Find returns the queue of a request, or nil.
func (c *Catalog) Find(host, path string) *Queue {
	list := c.hosts[host]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}
