package settings

import (
	"bytes"
	_ "embed" // the schemas
	"fmt"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"peridotpick.example/common/errkind"
)

// EntrySchema and AgentSchema are the published JSON Schemas.
var (
	//go:embed entry.schema.json
	EntrySchema []byte
	//go:embed agent.schema.json
	AgentSchema []byte
)

// The schemas are compiled when a document is read: an entry or agent on a small share of a
// core starts later by all that its packages do at their initialization.
var (
	entrySchema = LazySchema("entry", &EntrySchema)
	agentSchema = LazySchema("agent", &AgentSchema)
)

// Problem is one mistake in a document.
type Problem struct {
	// Path is the JSON Pointer (RFC 6901) of the value.
	Path string
	// Value is the value found.
	Value string
	// Allowed says what is allowed.
	Allowed string
}

// Problems are all mistakes of a document.
type Problems []Problem

// Error implements error, one mistake a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the mistake as one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Allowed)
	}
	return fmt.Sprintf("%s: %s: allowed: %s", p.Path, p.Value, p.Allowed)
}

// Kind returns the error as the answer to a bad document.
func (p Problems) Kind() *errkind.Error {
	return errkind.NewField(errkind.InvalidRequest, p[0].Path, p.Error())
}

func (p *Problems) add(path string, value any, allowed string) {
	*p = append(*p, Problem{Path: path, Value: fmt.Sprint(value), Allowed: allowed})
}

// Add records a mistake.
func (p *Problems) Add(path string, value any, allowed string) { p.add(path, value, allowed) }

// Err returns p as an error, or nil if there are no mistakes.
func (p Problems) Err() error { return p.err() }

func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// LazySchema returns a function that compiles a schema which is part of the program, once.
func LazySchema(name string, schema *[]byte) func() *jsonschema.Schema {
	return sync.OnceValue(func() *jsonschema.Schema { return MustCompile(name, *schema) })
}

// MustCompile compiles a schema that is part of the program.
func MustCompile(name string, schema []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, doc); err != nil {
		panic(err)
	}
	return compiler.MustCompile(name)
}

// CheckSchema validates a JSON document and returns the mistakes that its schema finds.
func CheckSchema(schema *jsonschema.Schema, data []byte) error {
	return Read(schema, data, new(any), func() Problems { return nil })
}

var printer = message.NewPrinter(language.English)

// collect gathers the leaves of a validation error.
func (p *Problems) collect(e *jsonschema.ValidationError, doc any) {
	for _, cause := range e.Causes {
		p.collect(cause, doc)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := "/" + strings.Join(e.InstanceLocation, "/")
	*p = append(*p, Problem{Path: path, Value: shown(lookup(doc, e.InstanceLocation)), Allowed: e.ErrorKind.LocalizedString(printer)})
}

// lookup returns the value at a location of a decoded document.
func lookup(doc any, location []string) any {
	for _, step := range location {
		switch node := doc.(type) {
		case map[string]any:
			doc = node[step]
		case []any:
			var index int
			if _, err := fmt.Sscan(step, &index); err != nil || index >= len(node) {
				return nil
			}
			doc = node[index]
		}
	}
	return doc
}

// shown returns a scalar as text; objects and arrays are left out.
func shown(value any) string {
	switch value.(type) {
	case nil, map[string]any, []any:
		return ""
	}
	return fmt.Sprint(value)
}
