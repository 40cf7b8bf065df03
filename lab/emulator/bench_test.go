package emulator

import (
	"testing"

	"peridotpick.example/core/policy"
)

func BenchmarkPlay(b *testing.B)      { benchmarkPlay(b, "small", "burst") }
func BenchmarkPlayLarge(b *testing.B) { benchmarkPlay(b, "large", "calm") }

func benchmarkPlay(b *testing.B, deployment, scenario string) {
	d, err := LoadDeployment(deployment)
	if err != nil {
		b.Fatal(err)
	}
	s, err := LoadScenario(scenario)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		Play(d, s, policy.Policy{}, 1, false)
	}
}
