package protocol

import (
	"github.com/anishathalye/porcupine"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire"
)

// answerOf is what an answer says of its submission, for the history.
type answerOf struct {
	// recorded is true if the answer is the recorded outcome of kind.
	recorded bool
	kind     errkind.Kind
	// notRun is true if it proves that the submission did not run.
	notRun bool
}

// outcomeRegister is the sequential specification of one keyed submission: its
// outcome is set once, by whichever request, and read by all later ones. "Not
// run" may be said only before. An unknown answer says nothing.
var outcomeRegister = porcupine.Model{
	Init: func() any { return answerOf{} },
	Step: func(state, _, output any) (bool, any) {
		have, said := state.(answerOf), output.(answerOf)
		switch {
		case said.recorded && !have.recorded:
			return true, said
		case said.recorded:
			return have.kind == said.kind, have
		case said.notRun:
			return !have.recorded, have
		}
		return true, have
	},
}

// operation records an answered request as an operation on its submission.
func (c *checker) operation(r *request, s *subRecord, o *wire.Outcome) {
	s.history = append(s.history, porcupine.Operation{
		ClientId: len(s.history), Call: r.sentAt.UnixNano(), Return: c.world.now.UnixNano(),
		Output: answerOf{
			recorded: o.Kind == errkind.OK || len(o.Tasks) > 0,
			kind:     o.Kind, notRun: o.Ran() == errkind.NotRun,
		},
	})
}

// linearizable checks the history of each keyed submission.
func (c *checker) linearizable() {
	for name, s := range c.subs {
		if s.claimed && !porcupine.CheckOperations(outcomeRegister, s.history) {
			c.violate("%s: its answers are not linearizable", name)
		}
	}
}
