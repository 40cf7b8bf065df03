package emulator

import (
	"testing"

	"peridotpick.example/core/policy"
)

func BenchmarkPlay(b *testing.B) {
	d, err := LoadDeployment("small")
	if err != nil {
		b.Fatal(err)
	}
	s, err := LoadScenario("burst")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		Play(d, s, policy.Policy{}, 1, false)
	}
}
