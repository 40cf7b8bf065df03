package protocol

import (
	"github.com/anishathalye/porcupine"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire"
)

// answerSummary is what an answer says of the outcome of its submission, and the state of
// outcomeRegister.
type answerSummary struct {
	// recorded is set if the answer is a recorded outcome, of the given kind.
	recorded bool
	kind     errkind.Kind
	// notRun is set if the answer says that the submission did not run.
	notRun bool
}

// outcomeRegister is the sequential specification of a keyed submission. Any request may set its
// outcome once; all later requests read the same outcome. An answer "not run" is valid only before
// the outcome is set. An answer with an unknown outcome is always valid.
var outcomeRegister = porcupine.Model{
	Init: func() any { return answerSummary{} },
	Step: func(state, _, output any) (bool, any) {
		current, answer := state.(answerSummary), output.(answerSummary)
		switch {
		case answer.recorded && !current.recorded:
			return true, answer
		case answer.recorded:
			return current.kind == answer.kind, current
		case answer.notRun:
			return !current.recorded, current
		}
		return true, current
	},
}

// addOperation adds an answered request to the history of its submission.
func (c *checker) addOperation(r *request, s *submissionRecord, o *wire.Outcome) {
	s.history = append(s.history, porcupine.Operation{
		ClientId: len(s.history), Call: r.sentAt.UnixNano(), Return: c.sim.now.UnixNano(),
		Output: answerSummary{
			recorded: o.Kind == errkind.OK || len(o.Tasks) > 0,
			kind:     o.Kind, notRun: o.Ran() == errkind.NotRun,
		},
	})
}

// checkLinearizable checks the history of each keyed submission against outcomeRegister.
func (c *checker) checkLinearizable() {
	for name, s := range c.subs {
		if s.claimed && !porcupine.CheckOperations(outcomeRegister, s.history) {
			c.violationf("%s: answers are not linearizable", name)
		}
	}
}
