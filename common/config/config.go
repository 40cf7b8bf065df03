// Package config defines the configuration that operators submit: teams and their quotas, services
// and their kinds of tasks, credentials, the policy, and the drained data centres. It is one
// versioned document. A document with a mistake is rejected as a whole, and every mistake is
// reported.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	_ "embed" // the schema
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"peridotpick.example/common/label"
	"peridotpick.example/common/settings"
)

// Schema is the published JSON Schema of a Document.
//
//go:embed config.schema.json
var Schema []byte

var schema = settings.LazySchema("config", &Schema)

// Document is the configuration as operators write it.
type Document struct {
	Teams     []Team     `json:"teams"`
	Operators []Operator `json:"operators,omitempty"`
	Services  []Service  `json:"services"`
	Policy    Policy     `json:"policy"`
	// DrainedDataCentres lists the data centres whose backend servers finish the tasks they run and get no new
	// ones.
	DrainedDataCentres []string `json:"drained,omitempty"`
	// Retention is how long the outcome of a submission is available; DefaultRetention if 0.
	Retention settings.Duration `json:"retention,omitempty"`
}

// Team is a team of callers, with a quota and a share of the capacity.
type Team struct {
	Name string `json:"name"`
	// Weight is the team's relative share when the demand exceeds the capacity; 1 if 0.
	Weight float64 `json:"weight,omitempty"`
	// Quota limits the team's open tasks over all entries; 0 means no limit.
	Quota  int          `json:"quota,omitempty"`
	Tokens []Credential `json:"tokens,omitempty"`
}

// Credential is a bearer token, stored as a hash.
type Credential struct {
	// SHA256 is the SHA-256 hash of the token, in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
	// Expires is the time (RFC 3339) after which the token is refused; optional.
	Expires string `json:"expires,omitempty"`
}

// Role is what the holder of a credential may do.
type Role string

// Roles. RoleCaller is the role of a team's token; the others are those of operators.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
	RoleReadOnly Role = "read-only"
)

// Operator is a user of the administration API.
type Operator struct {
	Name   string       `json:"name"`
	Role   Role         `json:"role"`
	Tokens []Credential `json:"tokens"`
}

// Service is a kind of backend server.
type Service struct {
	Name string `json:"name"`
	// Selector restricts all tasks of the service; may be empty.
	Selector string `json:"selector,omitempty"`
	Kinds    []Kind `json:"kinds"`
}

// Kind is a kind of tasks, an operation of a service.
type Kind struct {
	Name string `json:"name"`
	// Repeatable permits another start of a task after a start that failed or was lost.
	Repeatable bool `json:"repeatable,omitempty"`
	// Class is urgent, interactive or batch; interactive if empty.
	Class string `json:"class,omitempty"`
	// MaxRun is the run time after which a backend server stops a task; DefaultMaxRun if 0.
	MaxRun settings.Duration `json:"maxRun,omitempty"`
}

// Policy weighs response times against wasted messages and the cost of awake workers.
type Policy struct {
	// ResponseWeight goes from few wasted messages (0) to short response times (1).
	ResponseWeight float64 `json:"responseWeight"`
	// Headroom is the fraction of the slots of awake workers that is kept free, 0 to 1.
	Headroom float64 `json:"headroom,omitempty"`
	// MinAwake is the least number of workers that are kept awake.
	MinAwake int `json:"minAwake,omitempty"`
	// IdleBeforeSleep is how long a worker must not be needed before it is put to sleep.
	IdleBeforeSleep settings.Duration `json:"idleBeforeSleep,omitempty"`
}

// Defaults of optional values, and the shortest retention that is allowed.
const (
	DefaultMaxRun    = 30 * time.Second
	DefaultRetention = 24 * time.Hour
	minRetention     = time.Hour
)

// classNames are the names of the classes, the most urgent first; the index is the number of the
// class in messages.
var classNames = []string{"urgent", "interactive", "batch"}

// CompiledDocument is a valid document, indexed for the look-ups that requests need.
type CompiledDocument struct {
	Version  uint64
	Document Document
	teams    map[string]*Team
	kinds    map[kindKey]*CompiledKind
	services map[string]bool
	// tokens maps the hash of a token to the holder of the token.
	tokens map[[sha256.Size]byte]Identity
}

type kindKey struct{ service, kind string }

// CompiledKind is a Kind with parsed values and defaults.
type CompiledKind struct {
	Repeatable bool
	// Class is 0 for urgent, 1 for interactive and 2 for batch.
	Class  uint8
	MaxRun time.Duration
	// ServiceSelector is the text of the selector of the service.
	ServiceSelector string
}

// Identity is the holder of a credential.
type Identity struct {
	Role Role
	// Name is the name of the team or operator.
	Name    string
	expires time.Time
}

// Parse decodes and checks a document. The error is settings.Problems if it is not valid.
func Parse(data []byte) (*CompiledDocument, error) {
	var doc Document
	var c *CompiledDocument
	err := settings.Read(schema(), data, &doc, func() settings.Problems {
		var p settings.Problems
		c, p = compile(doc)
		return p
	})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// compile indexes a document and returns the mistakes that the schema cannot express. The result
// may be used only if there are none.
func compile(doc Document) (*CompiledDocument, settings.Problems) {
	c := &CompiledDocument{
		Document: doc, teams: make(map[string]*Team), kinds: make(map[kindKey]*CompiledKind),
		services: make(map[string]bool), tokens: make(map[[sha256.Size]byte]Identity),
	}
	var p settings.Problems
	c.compileTeams(&p)
	c.compileOperators(&p)
	c.compileServices(&p)
	if r := doc.Retention.Std(); r != 0 && r < minRetention {
		p.Add("/retention", r, fmt.Sprintf("at least %v", minRetention))
	}
	return c, p
}

func (c *CompiledDocument) compileTeams(p *settings.Problems) {
	for i := range c.Document.Teams {
		team := &c.Document.Teams[i]
		path := fmt.Sprintf("/teams/%d", i)
		if c.teams[team.Name] != nil {
			p.Add(path+"/name", team.Name, "a name not used by another team")
		}
		c.teams[team.Name] = team
		c.compileTokens(p, path, team.Tokens, Identity{Role: RoleCaller, Name: team.Name})
	}
}

func (c *CompiledDocument) compileOperators(p *settings.Problems) {
	seen := make(map[string]bool)
	for i, op := range c.Document.Operators {
		path := fmt.Sprintf("/operators/%d", i)
		if seen[op.Name] {
			p.Add(path+"/name", op.Name, "a name not used by another operator")
		}
		seen[op.Name] = true
		c.compileTokens(p, path, op.Tokens, Identity{Role: op.Role, Name: op.Name})
	}
}

func (c *CompiledDocument) compileTokens(p *settings.Problems, path string, tokens []Credential, holder Identity) {
	for i, token := range tokens {
		at := fmt.Sprintf("%s/tokens/%d", path, i)
		var hash [sha256.Size]byte
		if n, err := hex.Decode(hash[:], []byte(token.SHA256)); err != nil || n != sha256.Size {
			p.Add(at+"/sha256", token.SHA256, "64 hexadecimal digits")
			continue
		}
		if _, taken := c.tokens[hash]; taken {
			p.Add(at+"/sha256", "hash", "a token not used by another team or operator")
		}
		holder := holder
		if token.Expires != "" {
			expires, err := time.Parse(time.RFC3339, token.Expires)
			if err != nil {
				p.Add(at+"/expires", token.Expires, "an RFC 3339 time, such as 2027-01-31T00:00:00Z")
			}
			holder.expires = expires
		}
		c.tokens[hash] = holder
	}
}

func (c *CompiledDocument) compileServices(p *settings.Problems) {
	for i, service := range c.Document.Services {
		path := fmt.Sprintf("/services/%d", i)
		if c.services[service.Name] {
			p.Add(path+"/name", service.Name, "a name not used by another service")
		}
		c.services[service.Name] = true
		if _, err := label.Parse(path+"/selector", service.Selector); err != nil {
			p.Add(path+"/selector", service.Selector, err.Error())
		}
		for k, kind := range service.Kinds {
			c.compileKind(p, fmt.Sprintf("%s/kinds/%d", path, k), service, kind)
		}
	}
}

func (c *CompiledDocument) compileKind(p *settings.Problems, path string, service Service, kind Kind) {
	key := kindKey{service.Name, kind.Name}
	if c.kinds[key] != nil {
		p.Add(path+"/name", kind.Name, "a name not used by another kind of the service")
	}
	if kind.MaxRun < 0 {
		p.Add(path+"/maxRun", kind.MaxRun.Std(), "greater than 0s")
	}
	compiled := &CompiledKind{
		Repeatable: kind.Repeatable, Class: parseClass(kind.Class), MaxRun: kind.MaxRun.Std(), ServiceSelector: service.Selector,
	}
	if compiled.MaxRun == 0 {
		compiled.MaxRun = DefaultMaxRun
	}
	c.kinds[key] = compiled
}

// parseClass returns the number of a class; that of interactive for an empty or unknown name.
func parseClass(name string) uint8 {
	for i, known := range classNames {
		if known == name {
			return uint8(i)
		}
	}
	return 1
}

// ClassName returns the published name of a class; that of batch for numbers beyond the last class.
func ClassName(class uint8) string { return classNames[min(int(class), len(classNames)-1)] }

// Team returns the team with a name, or nil if there is none.
func (c *CompiledDocument) Team(name string) *Team { return c.teams[name] }

// HasService reports whether there is a service with a name.
func (c *CompiledDocument) HasService(name string) bool { return c.services[name] }

// Kind returns a kind of a service, or nil if there is none.
func (c *CompiledDocument) Kind(service, kind string) *CompiledKind {
	return c.kinds[kindKey{service, kind}]
}

// Retention returns how long the outcomes of submissions are available.
func (c *CompiledDocument) Retention() time.Duration {
	if c.Document.Retention == 0 {
		return DefaultRetention
	}
	return c.Document.Retention.Std()
}

// Authenticate returns the holder of a bearer token, and false if the token is unknown or has
// expired. It compares with all stored hashes in constant time, so that its duration reveals
// nothing about them.
func (c *CompiledDocument) Authenticate(token string, now time.Time) (Identity, bool) {
	hash := sha256.Sum256([]byte(token))
	var holder Identity
	found := 0
	for known, identity := range c.tokens {
		if subtle.ConstantTimeCompare(known[:], hash[:]) == 1 {
			holder = identity
			found = 1
		}
	}
	if found == 0 || (!holder.expires.IsZero() && now.After(holder.expires)) {
		return Identity{}, false
	}
	return holder, true
}

// HashToken returns the hash of a token in the form that Credential stores.
func HashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// Version is a stored version of the configuration.
type Version struct {
	// Number increases by one with each accepted change; the first is 1.
	Number uint64 `json:"number"`
	// Author is the name of the operator who made the change.
	Author     string    `json:"author"`
	AcceptedAt time.Time `json:"at"`
	// Nonce identifies the change, so that a put that is repeated is not taken for a conflicting
	// one.
	Nonce    string          `json:"nonce"`
	Document json.RawMessage `json:"document"`
}
