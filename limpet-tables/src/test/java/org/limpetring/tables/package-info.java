/** Tests of the configuration tables. */
@NullMarked
package org.limpetring.tables;

import org.jspecify.annotations.NullMarked;
