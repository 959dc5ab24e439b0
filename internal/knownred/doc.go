// Package knownred decides whether a test run passes, given KNOWN-RED.txt, the list of tests that are known to fail. A run passes if all
// its failures are of listed tests.
//
// Parse parses the list, Read reads the go command's output of a run, and Judge compares the two.
package knownred
