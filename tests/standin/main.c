/* Program of the stand-ins: targets, and the platform's store and host list. */
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "mains.h"

static void usage(void)
{
	fprintf(stderr, "usage: standin target|store|merge [--option value "
			"...]; see "
			"docs/TESTING.md\n");
}

/*
 * Hundreds of targets need more descriptors than the usual soft limit allows.
 */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) < 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

int main(int argc, char **argv)
{
	struct err err = { 0 };

	raise_file_limit();
	if (argc > 1 && strcmp(argv[1], "target") == 0)
		main_target(argc - 2, argv + 2, &err);
	else if (argc > 1 && strcmp(argv[1], "store") == 0)
		main_store(argc - 2, argv + 2, &err);
	else if (argc > 1 && strcmp(argv[1], "merge") == 0)
		main_merge(argc - 2, argv + 2, &err);
	else {
		usage();
		return 2;
	}
	if (err.code != ERR_OK) {
		fprintf(stderr, "standin: %d %s: %s\n", (int)err.code,
			err_name(err.code), err.detail);
		return 1;
	}
	return 0;
}
