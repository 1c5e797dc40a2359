#!/bin/sh
# Runs the case once, after the build of the deploy file and review/build.sh. It exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bramblespur ] || [ ! -x target/review-stand ]; then
	echo "target/bramblespur or target/review-stand is missing: run the build of deploy/service.toml and review/build.sh" >&2
	exit 2
fi
exec target/review-stand -case many -dir review/2
