package main

import "os"

// closeReadFile closes a file that was only read. It ignores errors, since no data can be lost.
func closeReadFile(file *os.File) { _ = file.Close() }

// removeDirectory removes a temporary directory. It ignores errors, since the operating system cleans up
// temporary files.
func removeDirectory(path string) { _ = os.RemoveAll(path) }
