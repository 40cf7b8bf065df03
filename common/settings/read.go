package settings

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// Read validates a JSON document against a schema, decodes it into a value, and runs check on that
// value. The error is Problems if the document is not valid, with the mistakes that the schema
// finds and those that check finds. Values that the schema rejects are not decoded, so that one
// value of a wrong type hides no other mistake; mistakes that check finds at or below them are
// dropped.
func Read(schema *jsonschema.Schema, data []byte, into any, check func() Problems) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Problems{{Path: "/", Allowed: "valid JSON: " + err.Error()}}
	}
	var p Problems
	var rejected rejectedPaths
	if err := schema.Validate(doc); err != nil {
		invalid, ok := err.(*jsonschema.ValidationError)
		if !ok {
			return eris.Wrap(err, "validate")
		}
		p.collect(invalid, doc)
		doc = rejected.removeRejected(invalid, doc)
	}
	valid, err := json.Marshal(doc)
	if err != nil {
		return eris.Wrap(err, "encode valid part of document")
	}
	if err := json.Unmarshal(valid, into); err != nil {
		if len(p) > 0 {
			return p // the document is not an object
		}
		return eris.Wrap(err, "decode")
	}
	for _, found := range check() {
		if !rejected.covers(found.Path) {
			p = append(p, found)
		}
	}
	return p.err()
}

// rejectedPaths are the JSON Pointers of the values that the schema rejects or misses.
type rejectedPaths []string

// removeRejected removes the rejected values from doc and records their paths. It returns the rest
// of the document.
func (r *rejectedPaths) removeRejected(e *jsonschema.ValidationError, doc any) any {
	for _, cause := range e.Causes {
		doc = r.removeRejected(cause, doc)
	}
	if len(e.Causes) > 0 {
		return doc
	}
	path := "/" + strings.Join(e.InstanceLocation, "/")
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			*r = append(*r, strings.TrimSuffix(path, "/")+"/"+name)
		}
	case *kind.AdditionalProperties: // unknown fields need no removal, decoding ignores them
	default:
		*r = append(*r, path)
		doc = removeAt(doc, e.InstanceLocation)
	}
	return doc
}

// removeAt removes the value at a location from doc and returns the rest. In an array the value
// becomes null, so that the other elements keep their index.
func removeAt(doc any, location []string) any {
	if len(location) == 0 {
		return nil
	}
	last := len(location) - 1
	switch parent := lookup(doc, location[:last]).(type) {
	case map[string]any:
		delete(parent, location[last])
	case []any:
		if i, err := strconv.Atoi(location[last]); err == nil && i < len(parent) {
			parent[i] = nil
		}
	}
	return doc
}

// covers reports whether a path is that of a rejected value, or lies within one.
func (r rejectedPaths) covers(path string) bool {
	for _, rejected := range r {
		if path == rejected || strings.HasPrefix(path, rejected+"/") {
			return true
		}
	}
	return false
}
