/** Runner that carries reports, plans and orders between the decisions and the ports. */
@NullMarked
package org.limpetring.groups.control;

import org.jspecify.annotations.NullMarked;
