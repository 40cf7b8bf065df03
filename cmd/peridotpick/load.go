package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/core/rank"
	"peridotpick.example/lab/cluster"
	"peridotpick.example/lab/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "run a deployment on loopback under generated load and faults, and report on it",
		Description: "Examples:\n" +
			"  peridotpick load --user association --load 0.7 --duration 20s --compare\n" +
			"  peridotpick load --user licensing --load 0.9 --faults faults.json --report report/",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "user", Value: "association", Usage: "deployment and mix of tasks: association or licensing"},
			&cli.FloatFlag{Name: "load", Value: 0.7, Usage: "load as a fraction of the capacity"},
			&cli.StringFlag{Name: "arrivals", Value: "steady", Usage: "steady, bursty, diurnal, step, or a JSON file to replay"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long requests arrive"},
			&cli.DurationFlag{Name: "deadline", Value: 20 * time.Second, Usage: "deadline of each request"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals and of random choices"},
			&cli.StringFlag{Name: "policy", Usage: "finish (the product's), random, round-robin, least-loaded or two-choices"},
			&cli.BoolFlag{Name: "compare", Usage: "run every policy with the same arrivals"},
			&cli.StringFlag{Name: "faults", Usage: "JSON file with a schedule of faults"},
			&cli.FloatFlag{Name: "flood", Usage: "load of a second team that floods the deployment, as a fraction of the capacity"},
			&cli.FloatFlag{Name: "weight", Value: -1, Usage: "response weight 0 to 1 in place of the deployment's"},
			&cli.FloatFlag{Name: "away-margin", Value: -1, Usage: "free slots, beyond one, that agents whose home is another entry must have"},
			&cli.FloatFlag{Name: "spare", Value: -1, Usage: "slots at each agent that a team above its share leaves free"},
			&cli.IntFlag{Name: "entries", Usage: "number of entries in place of the deployment's"},
			&cli.IntFlag{Name: "asleep", Usage: "workers asleep at the start"},
			&cli.FloatFlag{Name: "misdeclared", Value: 1, Usage: "factor by which the assumed run time differs from the true one"},
			&cli.StringFlag{Name: "report", Usage: "folder for report.json, plots and an HTML page"},
			outputFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	options, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	policies := []rank.Policy{rank.Policy(cmd.String("policy"))}
	if cmd.Bool("compare") {
		policies = rank.Policies()
	}
	var reports []*load.Report
	for _, policy := range policies {
		options.Policy = policy
		options.Progress = progressBar(string(policy), len(options.Plan))
		report, err := load.Run(ctx, options)
		if err != nil {
			return err
		}
		reports = append(reports, report)
		if ctx.Err() != nil {
			break // interrupted: report what was measured so far
		}
	}
	if dir := cmd.String("report"); dir != "" {
		if err := load.Save(dir, reports); err != nil {
			return err
		}
	}
	if cmd.String("output") == outputJSON {
		return json.NewEncoder(os.Stdout).Encode(reports)
	}
	return load.Print(os.Stdout, reports)
}

// loadOptions returns the options of a run from the flags of a command.
func loadOptions(cmd *cli.Command) (load.Options, error) {
	var o load.Options
	switch cmd.String("user") {
	case "association":
		o.Spec, o.Mix = cluster.Association(), load.AssociationMix()
	case "licensing":
		o.Spec, o.Mix = cluster.Licensing(), load.LicensingMix()
	default:
		return o, errkind.NewField(errkind.InvalidRequest, "--user", "association or licensing")
	}
	o.Seed, o.Duration, o.Deadline = cmd.Uint64("seed"), cmd.Duration("duration"), cmd.Duration("deadline")
	if err := checkPolicy(cmd.String("policy")); err != nil {
		return o, err
	}
	o.Spec.SleepingWorkers = cmd.Int("asleep")
	if n := cmd.Int("entries"); n > 0 {
		o.Spec.Entries = n
	}
	if w := cmd.Float("weight"); w >= 0 {
		o.Spec.Document.Policy.ResponseWeight = w
	}
	factor := cmd.Float("misdeclared")
	o.Spec.Tune = func(s *dispatch.Settings) {
		if m := cmd.Float("away-margin"); m >= 0 {
			s.Rank.AwayMargin = m
		}
		if n := cmd.Float("spare"); n >= 0 {
			s.SpareSlots = n
		}
		s.Rank.DefaultRunTime = time.Duration(float64(s.Rank.DefaultRunTime) * factor)
	}
	return o, planLoad(cmd, &o)
}

// checkPolicy returns an error if there is no policy with a name; empty stands for the product's
// own.
func checkPolicy(name string) error {
	if name == "" {
		return nil
	}
	for _, p := range rank.Policies() {
		if string(p) == name {
			return nil
		}
	}
	return errkind.NewField(errkind.InvalidRequest, "--policy", fmt.Sprintf("%q is not one of %v", name, rank.Policies()))
}

// planLoad generates or reads the arrivals, and reads the faults.
func planLoad(cmd *cli.Command, o *load.Options) error {
	slots := o.Spec.Agents * o.Spec.Slots
	var err error
	switch pattern := load.Pattern(cmd.String("arrivals")); pattern {
	case load.Steady, load.Bursty, load.Diurnal, load.Step:
		o.Plan = load.Plan(o.Mix, pattern, cmd.Float("load"), o.Duration, slots, o.Seed)
	default:
		if o.Plan, err = load.ReadArrivals(string(pattern)); err != nil {
			return err
		}
	}
	if flood := cmd.Float("flood"); flood > 0 {
		o.Flood = load.Plan(o.Mix, load.Steady, flood, o.Duration, slots, o.Seed+floodSeedOffset)
		o.Spec.Document.Teams = append(o.Spec.Document.Teams, config.Team{Name: load.FloodTeam, Weight: 1})
	}
	if path := cmd.String("faults"); path != "" {
		o.Faults, err = load.ReadFaults(path)
	}
	return err
}

// floodSeedOffset is added to the seed for the arrivals of the flooding team, so that they differ
// from those of the other teams.
const floodSeedOffset = 1_000_000
