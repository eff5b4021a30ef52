#include "model/request_report.h"

void request_report_free(struct request_report *e)
{
	if (!e)
		return;
	free(e->versions);
	free(e->customers);
	free(e->notices);
	free(e);
}
