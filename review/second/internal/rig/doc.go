// Package rig runs the programs of the deploy file as separate processes on loopback addresses, beside stand-ins of the platform: its store, the workers
// and the clients. It writes down what was sent, answered and run, and finds tasks that ran twice.
package rig
