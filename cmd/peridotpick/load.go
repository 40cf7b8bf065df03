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
		Usage: "drive a loopback deployment with seeded arrivals and faults, and report",
		Description: "Examples:\n" +
			"  peridotpick load --user association --load 0.7 --duration 20s --compare\n" +
			"  peridotpick load --user licensing --load 0.9 --faults faults.json --report report/",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "user", Value: "association", Usage: "deployment and mix: association or licensing"},
			&cli.FloatFlag{Name: "load", Value: 0.7, Usage: "load as a part of capacity"},
			&cli.StringFlag{Name: "arrivals", Value: "steady", Usage: "steady, bursty, diurnal, step, or a JSON file to replay"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the arrivals"},
			&cli.DurationFlag{Name: "deadline", Value: 20 * time.Second, Usage: "deadline of each request"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and choices"},
			&cli.StringFlag{Name: "policy", Usage: "finish (the product's), random, round-robin, least-loaded or two-choices"},
			&cli.BoolFlag{Name: "compare", Usage: "run every policy under the same arrivals"},
			&cli.StringFlag{Name: "faults", Usage: "JSON file with a schedule of faults"},
			&cli.FloatFlag{Name: "flood", Usage: "load of a second, flooding team, as a part of capacity"},
			&cli.FloatFlag{Name: "weight", Value: -1, Usage: "response weight 0 to 1 in place of the deployment's"},
			&cli.FloatFlag{Name: "away-margin", Value: -1, Usage: "free slots required beyond one at agents whose home is another entry"},
			&cli.FloatFlag{Name: "spare", Value: -1, Usage: "slots at each agent that a team over its share leaves free"},
			&cli.IntFlag{Name: "entries", Usage: "number of entries in place of the deployment's"},
			&cli.IntFlag{Name: "asleep", Usage: "workers asleep at the start"},
			&cli.FloatFlag{Name: "misdeclared", Value: 1, Usage: "factor by which the assumed run time is wrong"},
			&cli.StringFlag{Name: "report", Usage: "folder for report.json, plots and a page"},
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
			break // interrupted: report what there is
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

func loadOptions(cmd *cli.Command) (load.Options, error) {
	var o load.Options
	switch cmd.String("user") {
	case "association":
		o.Shape, o.Mix = cluster.Association(), load.AssociationMix()
	case "licensing":
		o.Shape, o.Mix = cluster.Licensing(), load.LicensingMix()
	default:
		return o, errkind.NewField(errkind.InvalidRequest, "--user", "association or licensing")
	}
	o.Seed, o.Duration, o.Deadline = cmd.Uint64("seed"), cmd.Duration("duration"), cmd.Duration("deadline")
	if err := checkPolicy(cmd.String("policy")); err != nil {
		return o, err
	}
	o.Shape.Asleep = cmd.Int("asleep")
	if n := cmd.Int("entries"); n > 0 {
		o.Shape.Entries = n
	}
	if w := cmd.Float("weight"); w >= 0 {
		o.Shape.Document.Policy.ResponseWeight = w
	}
	factor := cmd.Float("misdeclared")
	o.Shape.Tune = func(s *dispatch.Settings) {
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

// planLoad draws the arrivals and reads the faults.
func planLoad(cmd *cli.Command, o *load.Options) error {
	slots := o.Shape.Agents * o.Shape.Slots
	var err error
	switch shape := load.Shape(cmd.String("arrivals")); shape {
	case load.Steady, load.Bursty, load.Diurnal, load.Step:
		o.Plan = load.Plan(o.Mix, shape, cmd.Float("load"), o.Duration, slots, o.Seed)
	default:
		if o.Plan, err = load.Replay(string(shape)); err != nil {
			return err
		}
	}
	if flood := cmd.Float("flood"); flood > 0 {
		o.Flood = load.Plan(o.Mix, load.Steady, flood, o.Duration, slots, o.Seed+floodSeed)
		o.Shape.Document.Teams = append(o.Shape.Document.Teams, config.Team{Name: load.FloodTeam, Weight: 1})
	}
	if path := cmd.String("faults"); path != "" {
		o.Faults, err = load.ReadFaults(path)
	}
	return err
}

// floodSeed separates the arrivals of the flooding team.
const floodSeed = 1_000_000
