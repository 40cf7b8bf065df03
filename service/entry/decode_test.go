package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
)

var testLimits = limits{maxBody: 1000, maxTasks: 3, maxPayload: 100, defaultDeadline: time.Second, maxDeadline: time.Minute}

func TestDecodeJob(t *testing.T) {
	is := is.New(t)
	text := `{"tasks":[{"service":"tally","kind":"scan","payload":{"grams": 7}}]}`
	job, digest, err := decodeJob(strings.NewReader(text), testLimits)
	is.NoErr(err)
	is.Equal(string(job.Tasks[0].Payload), `{"grams": 7}`) // bytes unchanged
	is.Equal(job.Deadline.Std(), time.Second)              // the default deadline
	_, same, err := decodeJob(strings.NewReader(text), testLimits)
	is.NoErr(err)
	is.Equal(digest, same)
	_, other, err := decodeJob(strings.NewReader(strings.Replace(text, "7", "8", 1)), testLimits)
	is.NoErr(err)
	is.True(digest != other)
}

func TestDecodeJobLimits(t *testing.T) {
	task := `{"service":"a","kind":"b"}`
	cases := []struct{ name, body, field string }{
		{"payload", `{"tasks":[{"payload":"` + strings.Repeat("x", 120) + `"}]}`, "tasks[0].payload"},
		{"tasks", `{"tasks":[` + strings.Repeat(task+",", 3) + task + `]}`, "tasks"},
		{"body", `{"tasks":[` + strings.Repeat(" ", 1200) + `]}`, "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := decodeJob(strings.NewReader(c.body), testLimits)
			is.Equal(errkind.From(err).Kind, errkind.TooLarge)
			is.Equal(errkind.From(err).Field, c.field)
		})
	}
}

// FuzzDecodeJob checks that any body decodes to a job within the limits or to a typed error.
func FuzzDecodeJob(f *testing.F) {
	f.Add(`{"deadline":"2s","tasks":[{"service":"a","kind":"b","selector":"x in (y)","payload":[1]}]}`)
	f.Add(`{"tasks":[null]}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		job, _, err := decodeJob(strings.NewReader(body), testLimits)
		if err != nil {
			if errkind.From(err).Kind == errkind.Internal {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		if len(job.Tasks) == 0 || len(job.Tasks) > testLimits.maxTasks || job.Deadline <= 0 {
			t.Fatalf("job exceeds the limits: %+v", job)
		}
	})
}
