/* Scripted runs over the state side: documents, configuration, membership. */
#include <apr_general.h>
#include <glib.h>

#include "control_areas.h"

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	script_register(&sjson_area, "tests/scripts");
	script_register(&cfg_area, "tests/scripts");
	script_register(&mbr_area, "tests/scripts");
	script_register(&gate_area, "tests/scripts");
	return g_test_run();
}
