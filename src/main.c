/* Entry point: picks the subcommand. */
#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#define VERSION "0.1.0"

int main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "--version") == 0) {
		printf("cowslippoint %s\n", VERSION);
		return 0;
	}
	return 2;
}
