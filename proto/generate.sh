#!/bin/sh
# Generates the committed code of the schema. It needs protoc, protoc-gen-go and
# protoc-gen-connect-go; the build does not.
set -eu
cd "$(dirname "$0")"
protoc --go_out=.. --go_opt=module=papayaquay \
	--connect-go_out=.. --connect-go_opt=module=papayaquay \
	papayaquay/v1/papayaquay.proto
