package snowctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"snowflow/internal/config"
	"snowflow/internal/configstore/api"
	"snowflow/internal/daemon"
)

// applyOptions are the flags of apply.
type applyOptions struct {
	expected  string // the version that the state replaces, or "any"
	requestID string // empty to generate one
	preview   bool
}

func applyCommand(client *apiClient) *cobra.Command {
	options := applyOptions{}
	command := &cobra.Command{Use: "apply FILE", Short: "apply a desired state and wait until it is in force at all proxies", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			content, err := os.ReadFile(arguments[0])
			if err != nil {
				return daemon.NewUsageError(err)
			}
			if options.preview {
				return previewApply(client, content)
			}
			return apply(client, content, options)
		}}
	command.Flags().StringVar(&options.expected, "expected", "", "the version that this state replaces, or any")
	command.Flags().BoolVar(&options.preview, "preview", false, "only show which routes and services would change, and for how many nodes")
	command.Flags().StringVar(&options.requestID, "request", "", "request id; repeat an apply with the same id if its outcome is unknown")
	return command
}

// apply applies a desired state and prints the version that it was accepted as. Any other outcome is an error.
func apply(client *apiClient, content []byte, options applyOptions) error {
	if options.expected == "" {
		return daemon.NewUsageError(errors.New("--expected is required: the version that this state replaces, or any"))
	}
	requestID := options.requestID
	if requestID == "" {
		requestID = uuid.NewString()
	}
	resp, err := client.send(http.MethodPut, "/desired-state?expected="+options.expected+"&request="+requestID, content)
	if err != nil {
		return fmt.Errorf("the outcome is unknown; apply again with --request %s: %w", requestID, err)
	}
	var applied api.ApplyResult
	if err := json.Unmarshal(resp.body, &applied); err != nil {
		return resp.statusError()
	}
	switch applied.Outcome {
	case "accepted":
		fmt.Printf("accepted as version %d, digest %s\n", applied.Version, applied.Digest)
		return nil
	case "conflict":
		return fmt.Errorf("conflict: the current version is %d: %s", applied.Version, strings.Join(applied.Errors, "; "))
	}
	return fmt.Errorf("%s:\n  %s", applied.Outcome, strings.Join(applied.Errors, "\n  "))
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "validate a desired state locally, without a running mesh", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, arguments []string) error {
		content, err := os.ReadFile(arguments[0])
		if err != nil {
			return daemon.NewUsageError(err)
		}
		if _, fieldErrors := config.Parse(content); len(fieldErrors) > 0 {
			texts := make([]string, len(fieldErrors))
			for index, fieldError := range fieldErrors {
				texts[index] = fieldError.String()
			}
			return fmt.Errorf("%d errors:\n  %s", len(fieldErrors), strings.Join(texts, "\n  "))
		}
		fmt.Printf("valid, digest %s\n", config.Digest(content))
		return nil
	}}
}

func getCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "get [VERSION]", Short: "print a desired state, the newest unless a version is given", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return printResponse(client.send(http.MethodGet, "/desired-state"+versionPath(arguments), nil))
		}}
}

func versionPath(arguments []string) string {
	if len(arguments) == 0 {
		return ""
	}
	return "/" + arguments[0]
}

func historyCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "history", Short: "list all accepted desired states", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return printResponse(client.send(http.MethodGet, "/history", nil))
	}}
}
