/** Formation of groups: which hosts of a fabric domain belong together. */
@NullMarked
package org.limpetring.groups.plan;

import org.jspecify.annotations.NullMarked;
