package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// front is the store as one machine meets it. With the modes the store refuses that machine, or loses answers.
type front struct {
	store  *store
	record *record
	name   string
	mode   atomic.Int32
}

// Modes of a front.
const (
	sound    int32 = iota
	busy           // 503
	many           // 429
	lost           // three writes in ten are done and not answered
	lostLate       // likewise, and done 1 to 6 s later
	slow           // answers take 60 times as long
	silent         // no response, and nothing is done
)

func (f *front) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	mode := f.mode.Load()
	switch {
	case mode == busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case mode == many:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case mode == silent:
		_, _ = io.Copy(io.Discard, req.Body)
		<-req.Context().Done() // nothing comes on this connection
		panic(http.ErrAbortHandler)
	case mode == slow:
		time.Sleep(59 * storeDelay)
	case (mode == lost || mode == lostLate) && req.URL.Path == "/rows-tx" && rand.IntN(100) < 35:
		body, _ := io.ReadAll(req.Body)
		carryOut := func() {
			again, _ := http.NewRequest(http.MethodPost, "/rows-tx", bytes.NewReader(body))
			f.store.ServeHTTP(discard{}, again)
		}
		if mode == lostLate {
			go func() {
				time.Sleep(time.Second + time.Duration(rand.IntN(5000))*time.Millisecond)
				carryOut()
			}()
		} else {
			carryOut()
		}
		<-req.Context().Done() // nothing more comes on this connection
		panic(http.ErrAbortHandler)
	}
	f.store.ServeHTTP(w, req)
}
