#!/bin/sh
exec sh "$(dirname "$0")/../run-case.sh" relayed-stop review/1
