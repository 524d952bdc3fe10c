# Shared by the scripts of the cases 6 to 10. Usage: . "$root/review/common-2.sh"; run_case NUMBER
# A script needs the programs of the deploy file's build and of review/build-2.sh in bin/.
run_case() {
	cd "$root" || exit 2
	for program in bin/hazelwing bin/standin2; do
		if [ ! -x "$program" ]; then
			echo "$program is missing: build first" >&2
			exit 2
		fi
	done
	exec bin/standin2 -case "$1" -dir "$root/review/$1"
}
