package org.limpetring.groups.control;

import org.limpetring.groups.Plan;

/** Plan with its version in the platform; 0 if it was never written. */
record StoredPlan(Plan plan, long version) {}
