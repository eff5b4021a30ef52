/*
 * Scripted runs over the state side: the store's JSON documents, configuration,
 * membership and the limiter of store calls.
 */
#include <apr_general.h>
#include <glib.h>

#include "control_areas.h"

int main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	script_register(&cfg_json_area, SCRIPT_DIR);
	script_register(&cfg_area, SCRIPT_DIR);
	script_register(&membership_area, SCRIPT_DIR);
	script_register(&kv_limiter_area, SCRIPT_DIR);
	return g_test_run();
}
