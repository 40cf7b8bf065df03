// Package catalog is the part of the operator's configuration that decides which jobs are
// admitted and which workers run their tasks.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// Queue is the configuration of the jobs sent to one host and path.
type Queue struct {
	Name string
	// Host and Prefix select the queue; the longest prefix wins.
	Host, Prefix string
	// Service is the service whose workers run the tasks.
	Service string
	// Priority orders queues by urgency; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails.
	MaxAttempts int
	// Stretch and Target define the latency objective: Stretch times the critical path of a job's
	// work, plus Target.
	Stretch float64
	Target  time.Duration
	// Advised is set if a service of the platform decides which workers may run a step. Jobs of such a
	// queue are not served.
	Advised bool
}

// Objective returns the latency objective of a job whose critical path has the given work.
func (q *Queue) Objective(work time.Duration) time.Duration {
	return time.Duration(float64(work)*q.Stretch) + q.Target
}

// Limits restrict the requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	// Version rises with each change; 0 means that there is no configuration.
	Version uint64
	Limits  Limits
	hosts   map[string][]Queue
}

// New returns a catalog with the given queues.
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

// QueueByName returns the queue with a name, or nil.
func (c *Catalog) QueueByName(name string) *Queue {
	for _, list := range c.hosts {
		for i := range list {
			if list[i].Name == name {
				return &list[i]
			}
		}
	}
	return nil
}

// QueueFor returns the queue for a request's host and path, or nil.
func (c *Catalog) QueueFor(host, path string) *Queue {
	list := c.hosts[host]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}
