package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/policy"
	"peridotpick.example/lab/emulator"
)

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "simulate loads and faults in virtual time, with the real decision code",
		Description: "Examples:\n" +
			"  peridotpick emulate --scenario burst --seeds 20\n" +
			"  peridotpick emulate --without yield --compare --seeds 20\n" +
			"  peridotpick emulate --deployment my-deployment.json --scenario my-scenario.json --report report/\n" +
			"Without --scenario, all built-in scenarios are simulated.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "small", Usage: "name of a built-in deployment, or a JSON file"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "names of built-in scenarios, or JSON files"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, 1 to 10000"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.StringSliceFlag{Name: "without", Usage: "mechanisms to disable"},
			&cli.BoolFlag{Name: "compare", Usage: "compare the policy without these mechanisms with the full one, seed by seed"},
			&cli.IntFlag{Name: "jobs", Usage: "trials that run at the same time; half the number of CPUs if 0"},
			&cli.BoolFlag{Name: "story", Usage: "print each decision and fault of the first seed instead"},
			&cli.BoolFlag{Name: "list", Usage: "list deployments, scenarios, faults and mechanisms"},
			&cli.StringFlag{Name: "report", Usage: "folder for plots (SVG)"},
			outputFlag(),
		},
		Action: runEmulate,
	}
}

// maxSeeds limits an experiment to about an hour of computing.
const maxSeeds = 10000

func runEmulate(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("list") {
		return printLists()
	}
	if n := cmd.Int("seeds"); n < 1 || n > maxSeeds {
		return errkind.NewField(errkind.InvalidRequest, "--seeds", fmt.Sprintf("%d: from 1 to %d", n, maxSeeds))
	}
	d, err := emulator.LoadDeployment(cmd.String("deployment"))
	if err != nil {
		return errkind.NewField(errkind.InvalidRequest, "--deployment", err.Error())
	}
	without, err := policy.Without(cmd.StringSlice("without")...)
	if err != nil {
		return errkind.NewField(errkind.InvalidRequest, "--without", err.Error())
	}
	scenarios, err := loadScenarios(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("story") {
		return printEventLog(d, scenarios[0], without, cmd.Uint64("first"))
	}
	if cmd.Bool("compare") {
		return comparePolicies(ctx, cmd, d, scenarios, without)
	}
	results, err := simulateAll(ctx, cmd, d, scenarios, without)
	if err != nil {
		return err
	}
	return reportResults(cmd, results)
}

// loadScenarios loads the scenarios that the flags of a command name, or all built-in ones.
func loadScenarios(cmd *cli.Command) ([]*emulator.Scenario, error) {
	names := cmd.StringSlice("scenario")
	if len(names) == 0 {
		names = emulator.ScenarioNames()
	}
	var list []*emulator.Scenario
	for _, name := range names {
		s, err := emulator.LoadScenario(name)
		if err != nil {
			return nil, errkind.NewField(errkind.InvalidRequest, "--scenario", err.Error())
		}
		list = append(list, s)
	}
	return list, nil
}

// printLists prints the names of the built-in deployments and scenarios, the faults and the
// mechanisms.
func printLists() error {
	fmt.Println("deployments:", emulator.DeploymentNames())
	fmt.Println("scenarios:", emulator.ScenarioNames())
	fmt.Println("troubles:", emulator.FaultNames())
	fmt.Println("mechanisms:", policy.All())
	return nil
}

// printEventLog simulates one trial and prints its decisions and faults.
func printEventLog(d *emulator.Deployment, s *emulator.Scenario, p policy.Policy, seed uint64) error {
	for _, line := range emulator.Simulate(d, s, p, seed, true).EventLog() {
		fmt.Println(line)
	}
	return nil
}

// simulateAll runs an experiment, a trial for each seed, for each scenario.
func simulateAll(ctx context.Context, cmd *cli.Command, d *emulator.Deployment, list []*emulator.Scenario, p policy.Policy) ([]*emulator.ExperimentResult, error) {
	var results []*emulator.ExperimentResult
	for _, s := range list {
		e := emulator.Experiment{
			Deployment: d, Scenario: s, Policy: p, FirstSeed: cmd.Uint64("first"), Seeds: cmd.Int("seeds"), Parallelism: cmd.Int("jobs"),
		}
		result, err := e.Run(ctx)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// reportResults prints the results of experiments, and plots them if a folder for the report is
// given. It returns an error if a guarantee was violated in a trial.
func reportResults(cmd *cli.Command, results []*emulator.ExperimentResult) error {
	if cmd.String("output") == outputJSON {
		if err := json.NewEncoder(os.Stdout).Encode(results); err != nil {
			return err
		}
	} else {
		table := emulator.PrintHeader(os.Stdout)
		for _, result := range results {
			result.PrintRow(table)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	var violations []string
	for _, result := range results {
		if dir := cmd.String("report"); dir != "" {
			if err := result.Draw(dir); err != nil {
				return err
			}
		}
		violations = append(violations, result.Violations()...)
	}
	if len(violations) > 0 {
		return errkind.New(errkind.Internal, fmt.Sprintf("%d guarantees violated, the first: %s", len(violations), violations[0]))
	}
	return nil
}

// comparePolicies runs the experiments with all mechanisms and without some, and prints the
// comparisons.
func comparePolicies(ctx context.Context, cmd *cli.Command, d *emulator.Deployment, list []*emulator.Scenario, without policy.Policy) error {
	full, err := simulateAll(ctx, cmd, d, list, policy.Policy{})
	if err != nil {
		return err
	}
	reduced, err := simulateAll(ctx, cmd, d, list, without)
	if err != nil {
		return err
	}
	var comparisons []*emulator.Comparison
	for i := range full {
		comparisons = append(comparisons, emulator.Compare(full[i], reduced[i]))
	}
	if cmd.String("output") == outputJSON {
		return json.NewEncoder(os.Stdout).Encode(comparisons)
	}
	return emulator.PrintComparisons(os.Stdout, comparisons)
}
