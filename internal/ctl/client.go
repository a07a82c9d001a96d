// Package ctl implements dogwoodpondctl, the operators' command-line tool.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodpond/internal/fault"
	"dogwoodpond/internal/operator"
)

const callTimeout = 15 * time.Second

// Client calls the operators' API of one VM.
type Client struct {
	base  string
	token string
	who   string
	http  *http.Client
}

// NewClient returns a client of the operators' API at address; who is the operator who
// makes edits.
func NewClient(address, token, who string) *Client {
	return &Client{base: "http://" + address, token: token, who: who, http: &http.Client{Timeout: callTimeout}}
}

// Header is an HTTP header of a call.
type Header struct {
	Name, Value string
}

// Call makes one call and decodes the answer into reply. It fails with
// *fault.PeerUnavailable if the VM was not reached, with *AnswerLost if the call was sent
// but not answered completely, and with *Refused if the VM answered with an error.
func (c *Client) Call(ctx context.Context, method, path string, body, reply any, headers ...Header) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(&fault.Internal{Where: path})
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(text))
	if err != nil {
		return errors.WithStack(&fault.BadRequest{Field: "address", Problem: c.base})
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "application/json")
	request.Header.Set(operator.HeaderEditor, c.who)
	for _, h := range headers {
		request.Header.Set(h.Name, h.Value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.callError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusalError(response)
	}
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return errors.WithStack(&AnswerLost{Address: c.base})
	}
	return nil
}

// callError returns the error of a call without an answer: *fault.PeerUnavailable if no
// connection was made, otherwise *AnswerLost, since the VM may have executed the call.
func (c *Client) callError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return errors.WithStack(&fault.PeerUnavailable{VM: c.base})
	}
	return errors.WithStack(&AnswerLost{Address: c.base})
}

// AnswerLost reports a call that was sent and whose answer was not received completely.
// The call may have taken effect.
type AnswerLost struct {
	Address string
}

// Error implements error.
func (e *AnswerLost) Error() string { return fmt.Sprintf("no complete answer from %s", e.Address) }

// Code implements fault.Failure.
func (*AnswerLost) Code() fault.Code { return fault.CodePeerUnavailable }

// Refused reports an answer of the operators' API with a status other than 200.
type Refused struct {
	operator.Problem
	Status int
}

// Error implements error.
func (e *Refused) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.Problem.Code, e.Message)
}

// Code implements fault.Failure.
func (e *Refused) Code() fault.Code { return e.Problem.Code }

// refusalError reads a Refused from an answer.
func refusalError(response *http.Response) error {
	failure := &Refused{Status: response.StatusCode}
	if err := json.NewDecoder(response.Body).Decode(&failure.Problem); err != nil {
		failure.Problem = operator.Problem{Code: fault.CodeInternal, Message: response.Status}
	}
	return errors.WithStack(failure)
}
