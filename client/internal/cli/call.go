package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadapulley/cicadapulley/client/internal/entryclient"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
)

func (a *app) callCommand() *cobra.Command {
	call := entryclient.CallRequest{}
	payload := ""
	cmd := &cobra.Command{
		Use:   "call SERVICE KIND",
		Short: "Send one request and print the endpoint's output",
		Long: "call sends a request once and does not retry it. If the answer is lost (exit code 4),\n" +
			"resend it with the same --id: a kind that is not repeatable runs at most once.\n\n" + exit.Help,
		Example: `  cicadapulley call demo sleep --caller shop --id quote-17 --deadline 2s --payload '{"ms":50,"echo":1}'` + "\n" +
			"  cicadapulley call demo hold --caller shop --id hold-3 --payload @hold.json",
		Args: cobra.ExactArgs(2),
		RunE: a.runE(func(ctx context.Context, args []string) error {
			call.Service, call.Kind = args[0], args[1]
			return a.sendCall(ctx, call, payload)
		}),
	}
	cmd.Flags().StringVar(&call.Caller, "caller", "", "client account that makes the call")
	cmd.Flags().StringVar(&call.ID, "id", "", "id of the request, unique to its caller (default: a random one)")
	cmd.Flags().DurationVar(&call.Deadline, "deadline", 5*time.Second, "time limit for the answer")
	cmd.Flags().StringVar(&payload, "payload", "", "JSON, or @FILE, or @- for standard input")
	_ = cmd.MarkFlagRequired("caller") // fails only for an unknown flag
	return cmd
}

func (a *app) sendCall(ctx context.Context, call entryclient.CallRequest, payload string) error {
	call.Payload = []byte(payload)
	if file, ok := strings.CutPrefix(payload, "@"); ok {
		data, err := a.readInput(file)
		if err != nil {
			return err
		}
		call.Payload = data
	}
	if len(call.Payload) > 0 && !json.Valid(call.Payload) {
		return exit.Errorf(exit.Usage, "--payload: not valid JSON")
	}
	if call.ID == "" {
		call.ID = rand.Text()
		a.progress("request id " + call.ID)
	}
	client, err := a.entryClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+a.flags.timeout)
	defer cancel()
	response, err := client.Call(ctx, call)
	if err != nil {
		return entryFailure(err)
	}
	_, err = fmt.Fprintf(a.streams.Out, "%s\n", response)
	return err
}
