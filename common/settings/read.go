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

// Read decodes a JSON document and returns all its mistakes: those that the
// schema finds and those that check finds. Values that the schema refuses are
// left out for check, so that one wrong type hides no other mistake.
func Read(schema *jsonschema.Schema, data []byte, into any, check func() Problems) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Problems{{Path: "/", Allowed: "valid JSON: " + err.Error()}}
	}
	var p Problems
	var bad refusedPaths
	if err := schema.Validate(doc); err != nil {
		invalid, ok := err.(*jsonschema.ValidationError)
		if !ok {
			return eris.Wrap(err, "validate")
		}
		p.collect(invalid, doc)
		doc = bad.leaveOut(invalid, doc)
	}
	sound, err := json.Marshal(doc)
	if err != nil {
		return eris.Wrap(err, "encode what is valid")
	}
	if err := json.Unmarshal(sound, into); err != nil {
		if len(p) > 0 {
			return p // not even an object
		}
		return eris.Wrap(err, "decode")
	}
	for _, found := range check() {
		if !bad.covers(found.Path) {
			p = append(p, found)
		}
	}
	return p.err()
}

// refusedPaths are the paths at which the schema has found a mistake.
type refusedPaths []string

// leaveOut removes the refused values from a document.
func (r *refusedPaths) leaveOut(e *jsonschema.ValidationError, doc any) any {
	for _, cause := range e.Causes {
		doc = r.leaveOut(cause, doc)
	}
	if len(e.Causes) > 0 {
		return doc
	}
	at := "/" + strings.Join(e.InstanceLocation, "/")
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			*r = append(*r, strings.TrimSuffix(at, "/")+"/"+name)
		}
	case *kind.AdditionalProperties: // decoding ignores them
	default:
		*r = append(*r, at)
		doc = without(doc, e.InstanceLocation)
	}
	return doc
}

// without returns a document without the value at a location. In an array the
// value becomes null, so that its neighbours keep their index.
func without(doc any, location []string) any {
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

// covers reports whether a path is refused already, or lies in a refused value.
func (r refusedPaths) covers(path string) bool {
	for _, bad := range r {
		if path == bad || strings.HasPrefix(path, bad+"/") {
			return true
		}
	}
	return false
}
