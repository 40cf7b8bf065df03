package main

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestDrainChangesNothingElse drains data centres and ends a drain, and checks that the other
// fields of the document stay, that a repetition is no change, and that a document that is not an
// object is an error.
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
