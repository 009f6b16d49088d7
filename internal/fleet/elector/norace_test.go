//go:build !race

package elector_test

// raceDetector reports whether the race detector is in use, with which the simulation of the largest clusters takes minutes.
const raceDetector = false
