package snowctl

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"snowflow/internal/daemon"
	"snowflow/internal/settings"
)

const (
	// configStoreTimeout bounds a request to a configuration store. An apply waits until the state is in force at the proxies.
	configStoreTimeout = 25 * time.Second
	// proxyTimeout bounds a request to a proxy.
	proxyTimeout = 5 * time.Second
)

// apiClient sends requests to the admin addresses of configuration stores or of a proxy, one after the other until one responds.
type apiClient struct {
	addresses  string // comma-separated
	httpClient *http.Client
}

// addressList checks and splits the addresses. Its error is a daemon.UsageError.
func (c *apiClient) addressList() ([]string, error) {
	if err := settings.CheckAddresses(c.addresses); err != nil {
		return nil, daemon.NewUsageError(fmt.Errorf("--addresses: %w", err))
	}
	return strings.Split(c.addresses, ","), nil
}

// response holds the status code and the complete body of an HTTP response.
type response struct {
	code int
	body []byte
}

// statusError returns an error with the response's status code and body.
func (r response) statusError() error {
	return fmt.Errorf("status %d: %s", r.code, strings.TrimSpace(string(r.body)))
}

// send sends a request to the addresses one after the other and returns the first response whose status isn't 503. If there is none,
// it returns the joined errors of all addresses.
func (c *apiClient) send(method, path string, body []byte) (response, error) {
	addresses, err := c.addressList()
	if err != nil {
		return response{}, err
	}
	var errs []error
	for _, address := range addresses {
		resp, err := c.sendTo(address, method, path, body)
		if err == nil && resp.code == http.StatusServiceUnavailable {
			err = fmt.Errorf("%s: %s", address, strings.TrimSpace(string(resp.body)))
		}
		if err == nil {
			return resp, nil
		}
		errs = append(errs, err)
	}
	return response{}, errors.Join(errs...)
}

func (c *apiClient) sendTo(address, method, path string, body []byte) (response, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	resp, err := c.httpClient.Do(request)
	if err != nil {
		return response{}, err
	}
	content, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return response{code: resp.StatusCode, body: content}, err
}

// sendToProxy sends a request to the admin address of one proxy and prints the response.
func sendToProxy(address, method, path string) error {
	if err := settings.CheckAddress(address); err != nil {
		return daemon.NewUsageError(err)
	}
	client := &apiClient{addresses: address, httpClient: &http.Client{Timeout: proxyTimeout}}
	return printResponse(client.send(method, path, nil))
}
