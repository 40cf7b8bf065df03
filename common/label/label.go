// Package label defines the labels of workers and the selectors with which tasks require labels.
//
// Selectors have the grammar of Kubernetes label selectors, including its numeric comparisons:
// "zone in (a,b), gpu, !spot, tier!=test, cores>8". They are parsed once, when a configuration or a
// request is accepted; matching does not allocate.
package label

import (
	"strconv"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"peridotpick.example/common/errkind"
)

// MaxSelectorLength is the maximum length of the text of a selector, in bytes.
const MaxSelectorLength = 1024

// Set maps the names of labels to their values.
type Set = labels.Set

// Selector is a parsed selector: a list of terms that must all hold. The zero value matches every
// set.
type Selector struct {
	text  string
	terms labels.Requirements
}

// Parse parses a selector. Its errors are *errkind.Error with the given field: TooLarge for a text
// longer than MaxSelectorLength, InvalidRequest for one that is not valid.
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

// Matches reports whether all terms of s hold for set.
func (s Selector) Matches(set Set) bool {
	for i := range s.terms {
		if !s.terms[i].Matches(set) {
			return false
		}
	}
	return true
}

// UnmatchedTerm returns the first term that holds for none of sets, and true, or "" and false if
// each term holds for at least one set. The term shows a caller why no worker matches a selector.
func (s Selector) UnmatchedTerm(sets []Set) (string, bool) {
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
