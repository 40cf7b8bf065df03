package label

import (
	"testing"

	"github.com/matryer/is"
)

var worker = Set{"zone": "hall-a", "cores": "16", "gpu": "true"}

func TestSelectorMatches(t *testing.T) {
	cases := []struct {
		text string
		want bool
	}{
		{"", true},
		{"zone=hall-a", true},
		{"zone in (hall-b,hall-c)", false},
		{"zone notin (hall-b)", true},
		{"gpu", true},
		{"!gpu", false},
		{"cores>8", true},
		{"cores<8,gpu", false},
		{"tier!=test", true},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			s, err := Parse("selector", c.text)
			is.NoErr(err)
			is.Equal(s.Matches(worker), c.want)
		})
	}
}

func TestParseErrorHasFieldAndLimit(t *testing.T) {
	is := is.New(t)
	_, err := Parse("tasks[2].selector", "zone in (")
	is.True(err != nil)
	_, err = Parse("tasks[2].selector", string(make([]byte, MaxSelectorLength+1)))
	is.Equal(err.Error(), "too-large: tasks[2].selector: selector has 1025 bytes, at most 1024")
}

func TestUnmatchedTerm(t *testing.T) {
	is := is.New(t)
	s, err := Parse("selector", "gpu,cores>64")
	is.NoErr(err)
	term, unmatched := s.UnmatchedTerm([]Set{worker})
	is.True(unmatched)
	is.Equal(term, "cores>64")
}

func TestMatchesDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	s, err := Parse("selector", "zone in (hall-a,hall-b),cores>8,gpu,!spot")
	is.NoErr(err)
	is.Equal(testing.AllocsPerRun(100, func() { s.Matches(worker) }), 0.0)
}

func FuzzParse(f *testing.F) {
	f.Add("zone in (a,b), !gpu, cores>8")
	f.Add("a==b,,")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("selector", text)
		if err == nil {
			s.Matches(worker)
		}
	})
}
