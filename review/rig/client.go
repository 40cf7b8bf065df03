package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// callResult is the answer to a request of a client; status is 0 if there was none.
type callResult struct {
	status int
	state  string
}

// client is a client of the system at one entry.
type client struct {
	entry string
	http  *http.Client
}

func newClient(entry string) *client {
	return &client{entry: entry, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64,
	}}}
}

// call makes a request with a deadline, after which the client gives up.
func (c *client) call(method, path string, body any, deadline time.Duration) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry+path, bytes.NewReader(raw))
	if err != nil {
		return callResult{}
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return callResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return callResult{status: resp.StatusCode, state: answer.State}
}

type stepBody struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	Memory   int    `json:"mem_mb"`
	Estimate int    `json:"estimate_ms"`
	Requires string `json:"requires,omitempty"`
	After    []int  `json:"after,omitempty"`
}

type jobBody struct {
	Spec  string     `json:"spec"`
	Steps []stepBody `json:"steps"`
}

// jobOf returns a job of one step.
func jobOf(count, cpu int, length time.Duration) jobBody {
	return jobBody{Spec: specOf(length), Steps: []stepBody{{Count: count, CPU: cpu, Memory: 64, Estimate: int(length.Milliseconds())}}}
}
