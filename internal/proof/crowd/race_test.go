//go:build race

package crowd

// raceDetector tells that the resident memory includes that of the race detector, which is a
// multiple of the entry's own. The bound of memory is then not checked.
const raceDetector = true
