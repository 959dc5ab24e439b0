package snowctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore/api"
	"snowflow/internal/daemon"
)

// errMixedArguments is returned for a diff between a file and a version.
var errMixedArguments = errors.New("give two files or two versions; to compare a file with the newest version, use apply --preview")

func diffCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "diff A B", Short: "show how B differs from A; both are files, or both are versions", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, arguments []string) error {
		base, err := readStateFile(arguments[0])
		if err != nil {
			return err
		}
		next, err := readStateFile(arguments[1])
		if err != nil {
			return err
		}
		if (base == nil) != (next == nil) {
			return daemon.NewUsageError(errMixedArguments)
		}
		var comparison api.Comparison
		if base == nil {
			comparison, err = fetchComparison(client, http.MethodGet, "/changes?from="+arguments[0]+"&to="+arguments[1], nil)
		} else {
			comparison, err = compareFiles(base, next)
		}
		if err != nil {
			return err
		}
		printComparison(comparison)
		return nil
	}}
}

// stateFile is a desired state that was read from a file.
type stateFile struct {
	resources *changes.Set
	length    int // of the file, in bytes
}

// readStateFile reads a desired state from the file that an argument names. It returns nil if the argument is a version number.
func readStateFile(argument string) (*stateFile, error) {
	if _, err := strconv.ParseUint(argument, 10, 64); err == nil {
		return nil, nil
	}
	content, err := os.ReadFile(argument)
	if err != nil {
		return nil, daemon.NewUsageError(err)
	}
	set, err := api.ParseSet(config.Parse, content)
	if err != nil {
		return nil, err
	}
	return &stateFile{resources: set, length: len(content)}, nil
}

func compareFiles(base, next *stateFile) (api.Comparison, error) {
	difference := changes.Diff(base.resources, next.resources)
	content, err := changes.Encode(difference, 0, config.Digest(nil))
	if err != nil {
		return api.Comparison{}, err
	}
	return api.Comparison{Summary: changes.Summarize(base.resources, difference), DifferenceBytes: len(content), FullBytes: next.length}, nil
}

// fetchComparison requests a comparison from the configuration store.
func fetchComparison(client *apiClient, method, path string, content []byte) (api.Comparison, error) {
	resp, err := client.send(method, path, content)
	if err != nil {
		return api.Comparison{}, err
	}
	if resp.code != http.StatusOK {
		return api.Comparison{}, resp.statusError()
	}
	var comparison api.Comparison
	return comparison, json.Unmarshal(resp.body, &comparison)
}

// previewApply prints what applying a desired state would change.
func previewApply(client *apiClient, content []byte) error {
	comparison, err := fetchComparison(client, http.MethodPost, "/changes", content)
	if err != nil {
		return err
	}
	printComparison(comparison)
	fmt.Printf("it would replace version %d at %d nodes; nothing was applied\n", comparison.From, comparison.Proxies)
	return nil
}

// printComparison prints a line for each resource that differs, followed by the totals.
func printComparison(comparison api.Comparison) {
	summary := comparison.Summary
	printResources("+", summary.Added)
	printResources("~", summary.Changed)
	printResources("-", summary.Removed)
	fmt.Printf("%d added, %d changed, %d removed; %d bytes, the full state has %d\n", len(summary.Added), len(summary.Changed), len(summary.Removed),
		comparison.DifferenceBytes, comparison.FullBytes)
}

func printResources(sign string, resources []changes.ResourceChange) {
	for _, resource := range resources {
		line := fmt.Sprintf("%s %s %s", sign, resource.Kind, resource.Name)
		if len(resource.Fields) > 0 {
			line += ": " + strings.Join(resource.Fields, ", ")
		}
		for _, key := range resource.KeysAdded {
			line += " +" + key
		}
		for _, key := range resource.KeysRemoved {
			line += " -" + key
		}
		fmt.Println(line)
	}
}
