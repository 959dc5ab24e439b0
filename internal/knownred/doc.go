// Package knownred judges a test run by KNOWN-RED.txt, the list of tests that are known to fail: only failures of listed tests pass.
//
// Parse reads the list, Read the go command's output of a run, and Judge compares them.
package knownred
