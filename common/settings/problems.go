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

// EntrySchema and AgentSchema are the published JSON Schemas of the settings files.
var (
	//go:embed entry.schema.json
	EntrySchema []byte
	//go:embed agent.schema.json
	AgentSchema []byte
)

// The schemas are compiled when a document is first read, not at package initialization, whose cost
// would delay the start of every entry and agent that has only a small share of a core.
var (
	entrySchema = LazySchema("entry", &EntrySchema)
	agentSchema = LazySchema("agent", &AgentSchema)
)

// Problem is one mistake in a settings file or configuration.
type Problem struct {
	// Path is the JSON Pointer (RFC 6901) of the offending value.
	Path string
	// Value is the offending value; empty for objects, arrays and missing values.
	Value string
	// Allowed describes the values that are allowed.
	Allowed string
}

// Problems are all mistakes in a document.
type Problems []Problem

// Error implements error, with one line for each mistake.
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

// AsInvalidRequest returns an InvalidRequest error with all mistakes, to answer a caller with. Its
// field is the path of the first mistake, so p must not be empty.
func (p Problems) AsInvalidRequest() *errkind.Error {
	return errkind.NewField(errkind.InvalidRequest, p[0].Path, p.Error())
}

func (p *Problems) add(path string, value any, allowed string) {
	*p = append(*p, Problem{Path: path, Value: fmt.Sprint(value), Allowed: allowed})
}

// Add appends a mistake.
func (p *Problems) Add(path string, value any, allowed string) { p.add(path, value, allowed) }

// Err returns p as an error, or nil if there are no mistakes.
func (p Problems) Err() error { return p.err() }

func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// LazySchema returns a function that compiles an embedded schema on the first call and returns the
// same result from then on. It panics if the schema is not valid.
func LazySchema(name string, schema *[]byte) func() *jsonschema.Schema {
	return sync.OnceValue(func() *jsonschema.Schema { return MustCompile(name, *schema) })
}

// MustCompile compiles an embedded schema. It panics if the schema is not valid.
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

// CheckSchema validates a JSON document against a schema alone. The error is Problems if the
// document is not valid.
func CheckSchema(schema *jsonschema.Schema, data []byte) error {
	return Read(schema, data, new(any), func() Problems { return nil })
}

var printer = message.NewPrinter(language.English)

// collect appends the leaves of a tree of validation errors; doc is the validated document.
func (p *Problems) collect(e *jsonschema.ValidationError, doc any) {
	for _, cause := range e.Causes {
		p.collect(cause, doc)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := "/" + strings.Join(e.InstanceLocation, "/")
	*p = append(*p, Problem{Path: path, Value: scalarText(lookup(doc, e.InstanceLocation)), Allowed: e.ErrorKind.LocalizedString(printer)})
}

// lookup returns the value at a location of a decoded document, or nil if there is none.
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

// scalarText returns a scalar as text; empty for null, objects and arrays.
func scalarText(value any) string {
	switch value.(type) {
	case nil, map[string]any, []any:
		return ""
	}
	return fmt.Sprint(value)
}
