#include "data_region.h"

#include "data_service.h"

void
sgr_data_regions_apply (const sgr_data_task_t *task, const sgr_route_t *route,
                        sgr_data_call_request_t *request)
{
  const sgr_account_t *account = sgr_account_table_get (task->accounts, request->account);
  const sgr_region_table_t *regions = sgr_data_services_regions (task->services);

  if (route != NULL)
    sgr_region_limit_narrow (&request->regions, regions, &route->regions);
  if (account != NULL)
    sgr_region_limit_narrow (&request->regions, regions, &account->regions);
}

void
sgr_data_regions_key_apply (const sgr_data_task_t *task, const char *service,
                            sgr_data_call_request_t *request)
{
  if (task->routes != NULL)
    sgr_route_table_regions_narrow (task->routes, service, &request->regions,
                                    sgr_data_services_regions (task->services));
}
