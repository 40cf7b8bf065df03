package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/errkind"
	"peridotpick.example/lab/caller"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name: "job", Usage: "submit, query, list and cancel jobs",
		Commands: []*cli.Command{jobSubmitCommand(), jobGetCommand(), jobCancelCommand(), jobListCommand()},
	}
}

func jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "submit a job and wait for its answer", ArgsUsage: "FILE (- for standard input)",
		Description: "Example:\n  peridotpick job submit --team association --key scans-17 scans.json\n" +
			"The same key with the same file never starts a task twice.",
		Flags: clientFlags(
			&cli.StringFlag{Name: "key", Required: true, Usage: "idempotency key"},
			&cli.BoolFlag{Name: "no-wait", Usage: "return as soon as the job is accepted"}),
		Action: func(_ context.Context, cmd *cli.Command) error {
			client, err := newClient(cmd)
			if err != nil {
				return err
			}
			job, err := readJob(cmd)
			if err != nil {
				return err
			}
			if cmd.Bool("no-wait") {
				if err := client.SubmitAsync(cmd.String("key"), job); err != nil {
					return err
				}
				fmt.Println("accepted")
				return nil
			}
			results, err := client.Submit(cmd.String("key"), job)
			if err != nil {
				return err
			}
			return printResults(cmd, results, true)
		},
	}
}

// readJob decodes the job in the file that the command's argument names, or from standard input.
func readJob(cmd *cli.Command) (caller.Job, error) {
	var job caller.Job
	path, err := oneArg(cmd, "FILE")
	if err != nil {
		return job, err
	}
	in := io.Reader(os.Stdin)
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return job, errkind.NewField(errkind.InvalidRequest, "FILE", err.Error())
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	if err := json.NewDecoder(in).Decode(&job); err != nil {
		return job, errkind.NewField(errkind.InvalidRequest, "FILE", err.Error())
	}
	return job, nil
}

// printResults prints the results of a job by task, or that it is still running.
func printResults(cmd *cli.Command, results []json.RawMessage, done bool) error {
	if cmd.String("output") == outputJSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			Done    bool              `json:"done"`
			Results []json.RawMessage `json:"results"`
		}{done, results})
	}
	if !done {
		fmt.Println("running")
		return nil
	}
	for i, r := range results {
		fmt.Printf("%d\t%s\n", i, r)
	}
	return nil
}

func jobGetCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "get the answer of a job", ArgsUsage: "KEY",
		Description: "Example:\n  peridotpick job get --team association --wait 10s scans-17",
		Flags:       clientFlags(&cli.DurationFlag{Name: "wait", Usage: "how long to wait for the end of the job, at most 30s"}),
		Action: func(_ context.Context, cmd *cli.Command) error {
			client, key, err := clientAndArg(cmd, "KEY")
			if err != nil {
				return err
			}
			results, done, err := client.Get(key, cmd.Duration("wait"))
			if err != nil {
				return err
			}
			return printResults(cmd, results, done)
		},
	}
}

func jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel a job", ArgsUsage: "KEY",
		Description: "Example:\n  peridotpick job cancel --team association scans-17",
		Flags:       clientFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			client, key, err := clientAndArg(cmd, "KEY")
			if err != nil {
				return err
			}
			canceled, err := client.Cancel(key)
			if err != nil {
				return err
			}
			if !canceled {
				fmt.Println("the job had completed, or is still being canceled")
				return nil
			}
			fmt.Println("canceled")
			return nil
		},
	}
}

func jobListCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list the team's jobs by key",
		Description: "Example:\n  peridotpick job list --team association --after scans-17 --limit 50",
		Flags: clientFlags(
			&cli.StringFlag{Name: "after", Usage: "list the jobs with keys after this one"},
			&cli.IntFlag{Name: "limit", Value: 100, Usage: "number of jobs to list at most, up to 1000"}),
		Action: func(_ context.Context, cmd *cli.Command) error {
			return printGet(cmd, fmt.Sprintf("/v1/jobs?after=%s&limit=%d", cmd.String("after"), cmd.Int("limit")))
		},
	}
}

func callCommand() *cli.Command {
	return &cli.Command{
		Name: "call", Usage: "run one task and print its answer", ArgsUsage: "SERVICE KIND PAYLOAD",
		Description: `Example:
  peridotpick call --team association --key close-7 tally shift-close '{"galley":7}'`,
		Flags: clientFlags(
			&cli.StringFlag{Name: "key", Usage: "idempotency key"},
			&cli.DurationFlag{Name: "deadline", Value: 10 * time.Second, Usage: "time to the answer"}),
		Action: func(_ context.Context, cmd *cli.Command) error {
			client, err := newClient(cmd)
			if err != nil {
				return err
			}
			args := cmd.Args()
			if args.Len() != 3 {
				return errkind.NewField(errkind.InvalidRequest, "SERVICE KIND PAYLOAD", "exactly three arguments are required")
			}
			answer, err := client.Call(args.Get(0), args.Get(1), cmd.String("key"), cmd.Duration("deadline"), []byte(args.Get(2)))
			if err != nil {
				return err
			}
			fmt.Println(string(answer))
			return nil
		},
	}
}
