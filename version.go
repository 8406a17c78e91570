package main

// version is the version of the program.
const version = "0.1.0"
