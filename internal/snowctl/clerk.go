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
type desks struct {
	addresses string
	client    *http.Client
}

func (desks *desks) list() ([]string, error) {
	if err := settings.CheckAddresses(desks.addresses); err != nil {
		return nil, daemon.NewUsageError(fmt.Errorf("--desks: %w", err))
	}
	return strings.Split(desks.addresses, ","), nil
}

// ask sends one request to the first desk that answers with anything but a 503.
func (desks *desks) ask(method, path string, body []byte) (int, []byte, error) {
	addresses, err := desks.list()
	if err != nil {
		return 0, nil, err
	}
	var faults []error
	for _, address := range addresses {
		request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		response, err := desks.client.Do(request)
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
	shared := &desks{client: &http.Client{Timeout: 25 * time.Second}}
	root := &cobra.Command{Use: "snowctl", Short: "the operators' command line of snowflow", SilenceUsage: true, SilenceErrors: true, Version: release.Version}
	root.PersistentFlags().StringVar(&shared.addresses, "desks", "127.0.0.1:7201", "addresses of postmasters' desks, with commas between")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return daemon.NewUsageError(err) })
	root.AddCommand(apply(shared), check(), get(shared), history(shared), diff(shared), rollOut(shared), status(shared), guard(), drain(), examine(shared), safe(shared))
	return root
}

func apply(shared *desks) *cobra.Command {
	expected, request, before := "", "", false
	command := &cobra.Command{Use: "apply FILE", Short: "apply a desired state; it's acknowledged once it's in force everywhere", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			content, err := os.ReadFile(arguments[0])
			if err != nil {
				return daemon.NewUsageError(err)
			}
			if before {
				return preview(shared, content)
			}
			if expected == "" {
				return daemon.NewUsageError(errors.New("--expected is needed: the serial this state follows, or any"))
			}
			if request == "" {
				request = uuid.NewString()
			}
			code, answer, err := shared.ask(http.MethodPut, "/desired-state?expected="+expected+"&request="+request, content)
			if err != nil {
				return fmt.Errorf("no certain outcome; apply again with --request %s: %w", request, err)
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
	command.Flags().BoolVar(&before, "preview", false, "only show what it would change: routes, services and nodes")
	command.Flags().StringVar(&request, "request", "", "request id; the same id again repeats an apply harmlessly")
	return command
}

func check() *cobra.Command {
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
func show(code int, answer []byte, err error) error {
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

func get(shared *desks) *cobra.Command {
	return &cobra.Command{Use: "get [SERIAL]", Short: "read a desired state back, the newest if no serial is named", Args: cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return show(shared.ask(http.MethodGet, "/desired-state"+suffix(arguments), nil))
		}}
}

func suffix(arguments []string) string {
	if len(arguments) == 0 {
		return ""
	}
	return "/" + arguments[0]
}

func history(shared *desks) *cobra.Command {
	return &cobra.Command{Use: "history", Short: "list every accepted desired state", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return show(shared.ask(http.MethodGet, "/history", nil))
	}}
}

func status(shared *desks) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "show how the core, the carriers and the guards stand", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return show(shared.ask(http.MethodGet, "/status", nil))
	}}
}

// carrier asks one carrier's desk.
func carrier(address, method, path string) error {
	if err := settings.CheckAddress(address); err != nil {
		return daemon.NewUsageError(err)
	}
	one := &desks{addresses: address, client: &http.Client{Timeout: 5 * time.Second}}
	return show(one.ask(method, path, nil))
}

func guard() *cobra.Command {
	return &cobra.Command{Use: "guard DESK SERVICE force_open|disable|metrics_only|reset", Short: "set a manual control on one carrier", Args: cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return carrier(arguments[0], http.MethodPost, "/guards/"+arguments[1]+"/"+arguments[2])
		}}
}

func drain() *cobra.Command {
	return &cobra.Command{Use: "drain DESK", Short: "have one carrier answer what it read and stop", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return carrier(arguments[0], http.MethodPost, "/drain")
		}}
}

// errUnsafe ends safe with exit code 1.
var errUnsafe = errors.New("not safe to take away now")

func safe(shared *desks) *cobra.Command {
	wait := time.Duration(0)
	command := &cobra.Command{Use: "safe NAME...", Short: "tell whether a core machine's processes may be stopped, moved or emptied now, or wait until they may",
		Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, names []string) error {
			addresses, err := shared.list()
			if err != nil {
				return err
			}
			for cutoff := time.Now().Add(wait); ; time.Sleep(500 * time.Millisecond) {
				mesh, err := doctor.Look(addresses, 5*time.Second)
				unknown, objections := doctor.Safe(mesh, names)
				if err == nil && len(unknown) > 0 {
					return daemon.NewUsageError(fmt.Errorf("no process of the core is named %v", unknown))
				}
				if err == nil && len(objections) == 0 {
					fmt.Println("safe")
					return nil
				}
				if time.Now().After(cutoff) {
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

// errUnwell ends the doctor with exit code 1 after its findings were printed.
var errUnwell = errors.New("the mesh is not well")

func examine(shared *desks) *cobra.Command {
	patience, asJSON := 5*time.Second, false
	command := &cobra.Command{Use: "doctor", Short: "look for common faults; each finding says what to do", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		addresses, err := shared.list()
		if err != nil {
			return err
		}
		if patience <= 0 {
			return daemon.NewUsageError(errors.New("--patience must be above zero"))
		}
		findings := doctor.Examine(addresses, patience)
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
		if doctor.Worst(findings) != doctor.Well {
			return errUnwell
		}
		return nil
	}}
	command.Flags().DurationVar(&patience, "patience", patience, "how long the whole examination may take")
	command.Flags().BoolVar(&asJSON, "json", false, "print the findings as JSON")
	return command
}
