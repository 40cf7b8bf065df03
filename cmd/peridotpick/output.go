package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/mattn/go-isatty"
	"github.com/urfave/cli/v3"
)

// Values of the output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: outputText, Usage: "text, or json for scripts"}
}

// barWidth is the width of a progress bar in characters.
const barWidth = 30

// progressBar returns a function that draws a progress bar on standard error when it is called with
// the number of items done, or nil if standard error is not a terminal or total is 0.
func progressBar(title string, total int) func(int) {
	if !isatty.IsTerminal(os.Stderr.Fd()) || total == 0 {
		return nil
	}
	last := -1
	return func(done int) {
		filled := done * barWidth / total
		if filled == last && done < total {
			return
		}
		last = filled
		fmt.Fprintf(os.Stderr, "\r%s [%s%s] %d/%d", title, strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled), done, total)
		if done == total {
			fmt.Fprintln(os.Stderr)
		}
	}
}
