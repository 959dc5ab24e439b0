// Package snowctl is the operators' command line: desired states, status, guards and drains.
package snowctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"snowflow/internal/config"
	"snowflow/internal/configstore/api"
	"snowflow/internal/daemon"
	"snowflow/internal/release"
	"snowflow/internal/settings"
	"snowflow/internal/snowctl/doctor"
)

// desks asks postmasters' doors in turn, until one answers.
type apiClient struct {
	addresses  string
	httpClient *http.Client
}

func (c *apiClient) addressList() ([]string, error) {
	if err := settings.CheckAddresses(c.addresses); err != nil {
		return nil, daemon.NewUsageError(fmt.Errorf("--desks: %w", err))
	}
	return strings.Split(c.addresses, ","), nil
}

// ask sends one request to the first desk that answers with anything but a 503.
func (c *apiClient) send(method, path string, body []byte) (int, []byte, error) {
	addresses, err := c.addressList()
	if err != nil {
		return 0, nil, err
	}
	var faults []error
	for _, address := range addresses {
		request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		response, err := c.httpClient.Do(request)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			faults = append(faults, err)
			continue
		}
		if response.StatusCode == http.StatusServiceUnavailable {
			faults = append(faults, fmt.Errorf("%s: %s", address, strings.TrimSpace(string(content))))
			continue
		}
		return response.StatusCode, content, nil
	}
	return 0, nil, errors.Join(faults...)
}

// Root makes the command line.
func Root() *cobra.Command {
	client := &apiClient{httpClient: &http.Client{Timeout: 25 * time.Second}}
	root := &cobra.Command{Use: "snowctl", Short: "the operators' command line of snowflow", SilenceUsage: true, SilenceErrors: true, Version: release.Version}
	root.PersistentFlags().StringVar(&client.addresses, "desks", "127.0.0.1:7201", "addresses of postmasters' desks, with commas between")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return daemon.NewUsageError(err) })
	root.AddCommand(applyCommand(client), checkCommand(), getCommand(client), historyCommand(client), diffCommand(client), rolloutCommand(client), statusCommand(client), breakerCommand(), drainCommand(), doctorCommand(client), safeCommand(client))
	return root
}

func applyCommand(client *apiClient) *cobra.Command {
	expected, requestID, preview := "", "", false
	command := &cobra.Command{Use: "apply FILE", Short: "apply a desired state; it's acknowledged once it's in force everywhere", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			content, err := os.ReadFile(arguments[0])
			if err != nil {
				return daemon.NewUsageError(err)
			}
			if preview {
				return previewApply(client, content)
			}
			if expected == "" {
				return daemon.NewUsageError(errors.New("--expected is needed: the serial this state follows, or any"))
			}
			if requestID == "" {
				requestID = uuid.NewString()
			}
			code, answer, err := client.send(http.MethodPut, "/desired-state?expected="+expected+"&request="+requestID, content)
			if err != nil {
				return fmt.Errorf("no certain outcome; apply again with --request %s: %w", requestID, err)
			}
			var applied api.ApplyResult
			if err := json.Unmarshal(answer, &applied); err != nil {
				return fmt.Errorf("status %d: %s", code, answer)
			}
			switch applied.Outcome {
			case "accepted":
				fmt.Printf("accepted as serial %d, digest %s\n", applied.Version, applied.Digest)
				return nil
			case "conflict":
				return fmt.Errorf("conflict: the serial is %d now %s", applied.Version, strings.Join(applied.Errors, "; "))
			}
			return fmt.Errorf("%s:\n  %s", applied.Outcome, strings.Join(applied.Errors, "\n  "))
		}}
	command.Flags().StringVar(&expected, "expected", "", "the serial that this state follows, or any")
	command.Flags().BoolVar(&preview, "preview", false, "only show what it would change: routes, services and nodes")
	command.Flags().StringVar(&requestID, "request", "", "request id; the same id again repeats an apply harmlessly")
	return command
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "check a desired state without a mesh", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, arguments []string) error {
		content, err := os.ReadFile(arguments[0])
		if err != nil {
			return daemon.NewUsageError(err)
		}
		if _, faults := config.Parse(content); len(faults) > 0 {
			texts := make([]string, len(faults))
			for index, fault := range faults {
				texts[index] = fault.String()
			}
			return fmt.Errorf("%d faults:\n  %s", len(faults), strings.Join(texts, "\n  "))
		}
		fmt.Printf("valid, digest %s\n", config.Digest(content))
		return nil
	}}
}

// show prints an answer's JSON, indented.
func printJSON(code int, answer []byte, err error) error {
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("status %d: %s", code, strings.TrimSpace(string(answer)))
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, answer, "", "  "); err != nil {
		return err
	}
	fmt.Println(strings.TrimSpace(indented.String()))
	return nil
}

func getCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "get [SERIAL]", Short: "read a desired state back, the newest if no serial is named", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return printJSON(client.send(http.MethodGet, "/desired-state"+versionPath(arguments), nil))
		}}
}

func versionPath(arguments []string) string {
	if len(arguments) == 0 {
		return ""
	}
	return "/" + arguments[0]
}

func historyCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "history", Short: "list every accepted desired state", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return printJSON(client.send(http.MethodGet, "/history", nil))
	}}
}

func statusCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "show how the core, the carriers and the guards stand", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return printJSON(client.send(http.MethodGet, "/status", nil))
	}}
}

// carrier asks one carrier's desk.
func sendToProxy(address, method, path string) error {
	if err := settings.CheckAddress(address); err != nil {
		return daemon.NewUsageError(err)
	}
	client := &apiClient{addresses: address, httpClient: &http.Client{Timeout: 5 * time.Second}}
	return printJSON(client.send(method, path, nil))
}

func breakerCommand() *cobra.Command {
	return &cobra.Command{Use: "guard DESK SERVICE force_open|disable|metrics_only|reset", Short: "set a manual control on one carrier", Args: cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return sendToProxy(arguments[0], http.MethodPost, "/guards/"+arguments[1]+"/"+arguments[2])
		}}
}

func drainCommand() *cobra.Command {
	return &cobra.Command{Use: "drain DESK", Short: "have one carrier answer what it read and stop", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return sendToProxy(arguments[0], http.MethodPost, "/drain")
		}}
}

// errUnsafe ends safe with exit code 1.
var errUnsafe = errors.New("not safe to take away now")

func safeCommand(client *apiClient) *cobra.Command {
	wait := time.Duration(0)
	command := &cobra.Command{Use: "safe NAME...", Short: "tell whether a core machine's processes may be stopped, moved or emptied now, or wait until they may",
		Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, names []string) error {
			addresses, err := client.addressList()
			if err != nil {
				return err
			}
			for deadline := time.Now().Add(wait); ; time.Sleep(500 * time.Millisecond) {
				mesh, err := doctor.Gather(addresses, 5*time.Second)
				unknown, objections := doctor.Safe(mesh, names)
				if err == nil && len(unknown) > 0 {
					return daemon.NewUsageError(fmt.Errorf("no process of the core is named %v", unknown))
				}
				if err == nil && len(objections) == 0 {
					fmt.Println("safe")
					return nil
				}
				if time.Now().After(deadline) {
					for _, objection := range objections {
						fmt.Println(objection)
					}
					return errors.Join(errUnsafe, err)
				}
			}
		}}
	command.Flags().DurationVar(&wait, "wait", 0, "how long to wait until it's safe")
	return command
}

// errUnhealthy ends the doctor with exit code 1 after its findings were printed.
var errUnhealthy = errors.New("the mesh is not well")

func doctorCommand(client *apiClient) *cobra.Command {
	timeout, asJSON := 5*time.Second, false
	command := &cobra.Command{Use: "doctor", Short: "look for common faults; each finding says what to do", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		addresses, err := client.addressList()
		if err != nil {
			return err
		}
		if timeout <= 0 {
			return daemon.NewUsageError(errors.New("--patience must be above zero"))
		}
		findings := doctor.Examine(addresses, timeout)
		if asJSON {
			content, err := json.MarshalIndent(findings, "", "  ")
			if err != nil {
				return err
			}
			fmt.Println(string(content))
		} else {
			for _, finding := range findings {
				fmt.Println(finding)
			}
		}
		if doctor.MostSevere(findings) != doctor.Healthy {
			return errUnhealthy
		}
		return nil
	}}
	command.Flags().DurationVar(&timeout, "patience", timeout, "how long the whole examination may take")
	command.Flags().BoolVar(&asJSON, "json", false, "print the findings as JSON")
	return command
}
