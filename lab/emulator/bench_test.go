package emulator

import (
	"testing"

	"peridotpick.example/core/policy"
)

func BenchmarkSimulate(b *testing.B)      { benchmarkSimulate(b, "small", "burst") }
func BenchmarkSimulateLarge(b *testing.B) { benchmarkSimulate(b, "large", "calm") }

func benchmarkSimulate(b *testing.B, deployment, scenario string) {
	d, err := LoadDeployment(deployment)
	if err != nil {
		b.Fatal(err)
	}
	s, err := LoadScenario(scenario)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		Simulate(d, s, policy.Policy{}, 1, false)
	}
}
