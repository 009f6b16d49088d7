// Package caller contains a client for the RPC calls to entries and agents. It reuses connections.
package caller

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"bamboohook/internal/fleet/messenger"
	"bamboohook/internal/peer"
)

// Client calls the methods of entries and agents. It uses a separate connection for each address and method, so that a slow call doesn't
// delay a ping. The zero value is ready to use. Client is safe for concurrent use.
type Client struct {
	mutex   sync.Mutex
	clients map[connectionKey]*peer.Client
}

type connectionKey struct {
	address string
	method  string
}

// Ping sends this entry's state to the entry at the address and returns that entry's state. The second result reports whether the
// connection was refused.
func (c *Client) Ping(ctx context.Context, address string, p messenger.Ping) (messenger.Ping, bool, error) {
	var response messenger.Ping
	err := c.call(ctx, address, messenger.MethodPing, p, &response)
	return response, errors.Is(err, syscall.ECONNREFUSED), err
}

// SendJobRequest forwards a caller's request about batch jobs to the entry at the address entry. The second result is false if the request
// was certainly not sent.
func (c *Client) SendJobRequest(ctx context.Context, entry, method string, request messenger.JobRequest) (messenger.JobResponse, bool, error) {
	var response messenger.JobResponse
	err := c.call(ctx, entry, method, request, &response)
	return response, !errors.Is(err, peer.ErrNotSent), err
}

// SendOrders sends orders to the agent at the address agent.
func (c *Client) SendOrders(ctx context.Context, agent string, o messenger.Orders) (messenger.OrdersResponse, error) {
	var response messenger.OrdersResponse
	err := c.call(ctx, agent, messenger.MethodOrders, o, &response)
	return response, err
}

// SendReport sends an agent's report to the entry at the address entry.
func (c *Client) SendReport(ctx context.Context, entry string, r messenger.Report) (messenger.ReportResponse, error) {
	var response messenger.ReportResponse
	err := c.call(ctx, entry, messenger.MethodReport, r, &response)
	return response, err
}

// FetchConfiguration requests the configuration that the entry at the address entry uses, and the evacuated data centres that it knows.
func (c *Client) FetchConfiguration(ctx context.Context, entry string) (messenger.Configuration, error) {
	var configuration messenger.Configuration
	err := c.call(ctx, entry, messenger.MethodConfiguration, struct{}{}, &configuration)
	return configuration, err
}

// call calls a method and decodes the response into result. After a failure it closes the connection, because a connection whose peer has
// disappeared without closing it fails all later calls too. It keeps the connection if the peer has responded to another call in the meantime, or if
// the caller has given the call up.
func (c *Client) call(ctx context.Context, address, method string, params, result any) error {
	client := c.client(connectionKey{address, method})
	startedAt := time.Now()
	err := client.Call(ctx, method, params, result)
	if err != nil && !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, context.Canceled) {
		client.CloseIfSilent(startedAt)
	}
	return err
}

// client returns the client for the address and method in k. It creates the client on first use.
func (c *Client) client(k connectionKey) *peer.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.clients == nil {
		c.clients = map[connectionKey]*peer.Client{}
	}
	if c.clients[k] == nil {
		c.clients[k] = &peer.Client{Address: k.address}
	}
	return c.clients[k]
}
