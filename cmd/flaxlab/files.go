package main

import "os"

// closeReadFile closes a file that was only read: nothing can be lost in closing it.
func closeReadFile(file *os.File) { _ = file.Close() }

// removeFolder removes a temporary folder. One that can't be removed is left to the
// system, which cleans up its temporary files.
func removeFolder(path string) { _ = os.RemoveAll(path) }
