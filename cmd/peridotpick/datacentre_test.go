package main

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestDrainChangesNothingElse(t *testing.T) {
	is := is.New(t)
	document := json.RawMessage(`{"teams":[{"name":"a"}],"services":[],"policy":{"responseWeight":0.5}}`)
	edited, changed, err := withDrained(document, "hall-a", true)
	is.NoErr(err)
	is.True(changed)
	is.Equal(string(edited), `{"drained":["hall-a"],"policy":{"responseWeight":0.5},"services":[],"teams":[{"name":"a"}]}`)
	_, changed, err = withDrained(edited, "hall-a", true)
	is.NoErr(err)
	is.True(!changed)
	edited, _, err = withDrained(edited, "hall-b", true)
	is.NoErr(err)
	edited, changed, err = withDrained(edited, "hall-a", false)
	is.NoErr(err)
	is.True(changed)
	is.Equal(string(edited), `{"drained":["hall-b"],"policy":{"responseWeight":0.5},"services":[],"teams":[{"name":"a"}]}`)
	_, _, err = withDrained(json.RawMessage(`[]`), "hall-a", true)
	is.True(err != nil)
}
