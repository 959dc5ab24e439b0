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
	// configStoreTimeout bounds a request to a configuration store, which may wait for an apply's acknowledgement.
	configStoreTimeout = 25 * time.Second
	// proxyTimeout bounds a request to a proxy.
	proxyTimeout = 5 * time.Second
)

// apiClient sends requests to the admin addresses of configuration stores, in turn until one responds.
type apiClient struct {
	addresses  string // with commas between
	httpClient *http.Client
}

// addressList checks and splits the addresses. Its error is the starter's.
func (c *apiClient) addressList() ([]string, error) {
	if err := settings.CheckAddresses(c.addresses); err != nil {
		return nil, daemon.NewUsageError(fmt.Errorf("--addresses: %w", err))
	}
	return strings.Split(c.addresses, ","), nil
}

// response is a response's status code and complete body.
type response struct {
	code int
	body []byte
}

// statusError describes a response that is not the expected one.
func (r response) statusError() error {
	return fmt.Errorf("status %d: %s", r.code, strings.TrimSpace(string(r.body)))
}

// send sends a request to the addresses in turn and gives the first response other than a 503. The error joins those of all
// addresses.
func (c *apiClient) send(method, path string, body []byte) (response, error) {
	addresses, err := c.addressList()
	if err != nil {
		return response{}, err
	}
	var errs []error
	for _, address := range addresses {
		received, err := c.sendTo(address, method, path, body)
		if err == nil && received.code == http.StatusServiceUnavailable {
			err = fmt.Errorf("%s: %s", address, strings.TrimSpace(string(received.body)))
		}
		if err == nil {
			return received, nil
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
	received, err := c.httpClient.Do(request)
	if err != nil {
		return response{}, err
	}
	content, err := io.ReadAll(received.Body)
	_ = received.Body.Close()
	return response{code: received.StatusCode, body: content}, err
}

// sendToProxy sends a request to the admin address of one proxy and prints the response.
func sendToProxy(address, method, path string) error {
	if err := settings.CheckAddress(address); err != nil {
		return daemon.NewUsageError(err)
	}
	client := &apiClient{addresses: address, httpClient: &http.Client{Timeout: proxyTimeout}}
	return printResponse(client.send(method, path, nil))
}
