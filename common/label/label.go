// Package label holds labels of tasks and workers and the selectors over them.
//
// Selectors use the published Kubernetes label-selector grammar, including its
// numeric comparisons: "zone in (a,b), gpu, !spot, tier!=test, cores>8". They
// are parsed once, when configuration or a request is accepted, and matched
// without allocation afterwards.
package label

import (
	"strconv"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"peridotpick.example/common/errkind"
)

// MaxSelectorLength bounds the text of one selector, in bytes.
const MaxSelectorLength = 1024

// Set is a set of labels, by name.
type Set = labels.Set

// Selector is a parsed selector. The zero value matches everything.
type Selector struct {
	text  string
	terms labels.Requirements
}

// Parse parses text. The error names the field and what is wrong with it.
func Parse(field, text string) (Selector, error) {
	if len(text) > MaxSelectorLength {
		return Selector{}, errkind.NewField(errkind.TooLarge, field,
			"selector has "+strconv.Itoa(len(text))+" bytes, at most "+strconv.Itoa(MaxSelectorLength))
	}
	parsed, err := labels.Parse(text)
	if err != nil {
		return Selector{}, errkind.NewField(errkind.InvalidRequest, field,
			"selector "+strconv.Quote(text)+": "+strings.ReplaceAll(err.Error(), "\n", " "))
	}
	terms, _ := parsed.Requirements()
	return Selector{text: text, terms: terms}, nil
}

// String returns the text that the selector was parsed from.
func (s Selector) String() string { return s.text }

// Matches reports whether every term of s holds for set.
func (s Selector) Matches(set Set) bool {
	for i := range s.terms {
		if !s.terms[i].Matches(set) {
			return false
		}
	}
	return true
}

// FailedTerm returns the first term that holds for none of sets, and true;
// or "" and false if each term holds for at least one set.
func (s Selector) FailedTerm(sets []Set) (string, bool) {
	for i := range s.terms {
		if !anyMatches(&s.terms[i], sets) {
			return s.terms[i].String(), true
		}
	}
	return "", false
}

func anyMatches(term *labels.Requirement, sets []Set) bool {
	for _, set := range sets {
		if term.Matches(set) {
			return true
		}
	}
	return false
}
